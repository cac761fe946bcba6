package mustarddale.serving.quota

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.collections.immutable.persistentSetOf
import mustarddale.serving.config.AccountConfig

class AccountQuotaTest {
    private val account =
        AccountConfig("acme", persistentSetOf("k"), null, 1_000.0, 1_000.0, 200.0)

    private data class Case(
        val name: String,
        val share: Double,
        val extraBurst: Double,
        val requests: List<Pair<Long, Double>>,
        val expected: List<Boolean>
    )

    @Test
    fun `requests that an instance grants by its share`() {
        val cases = listOf(
            Case("none without a share", 0.0, 500.0, listOf(1_000L to 1.0), listOf(false)),
            Case(
                "half a share fills the bucket at half the rate",
                0.5,
                0.0,
                listOf(400L to 201.0, 400L to 200.0, 400L to 1.0),
                listOf(false, true, false)
            ),
            Case(
                "a full bucket holds a share of the burst and the extra burst",
                0.5,
                500.0,
                listOf(10_000L to 750.0, 10_000L to 1.0),
                listOf(true, false)
            ),
            Case(
                "a request above a full bucket is granted and leaves a negative level",
                0.5,
                0.0,
                listOf(10_000L to 1_000.0, 10_900L to 1.0, 11_002L to 1.0),
                listOf(true, false, true)
            )
        )
        cases.forEach { case ->
            val quota = AccountQuota { case.extraBurst }
            quota.setShares(mapOf("acme" to case.share), listOf(account), 0)
            val granted = case.requests.map { (atMillis, tokens) ->
                quota.tryTake(account, tokens, atMillis)
            }
            assertEquals(case.expected, granted, case.name)
        }
    }

    @Test
    fun `all instances together stay within rate, burst and extra burst in any window`() {
        val shares = listOf(0.1, 0.2, 0.3, 0.4)
        val quotas = shares.map { share ->
            AccountQuota { 500.0 }.also { it.setShares(mapOf("acme" to share), listOf(account), 0) }
        }
        val taken = ArrayList<Pair<Long, Double>>()
        for (nowMillis in 0L..30_000L step 10) {
            quotas.filter { it.tryTake(account, 7.0, nowMillis) }
                .forEach { _ -> taken.add(nowMillis to 7.0) }
        }
        for (fromMillis in 0L..22_000L step 500) {
            val takenTokens = taken.filter { it.first in fromMillis until fromMillis + 8_000 }
                .sumOf { it.second }
            assertTrue(
                takenTokens <= 8 * 1_000 + 1_000 + 500 + 4 * 7,
                "$takenTokens tokens were taken in the 8 s from $fromMillis ms"
            )
        }
    }
}
