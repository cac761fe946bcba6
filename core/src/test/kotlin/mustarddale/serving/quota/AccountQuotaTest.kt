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
        val extra: Double,
        val takes: List<Pair<Long, Double>>,
        val expected: List<Boolean>
    )

    @Test
    fun `what an instance may use`() {
        val cases = listOf(
            Case("without a share nothing", 0.0, 500.0, listOf(1_000L to 1.0), listOf(false)),
            Case(
                "a half fills at half the rate",
                0.5,
                0.0,
                listOf(400L to 201.0, 400L to 200.0, 400L to 1.0),
                listOf(false, true, false)
            ),
            Case(
                "a full bucket has its share of burst and slack",
                0.5,
                500.0,
                listOf(10_000L to 750.0, 10_000L to 1.0),
                listOf(true, false)
            ),
            Case(
                "a request above a full bucket passes and leaves a debt",
                0.5,
                0.0,
                listOf(10_000L to 1_000.0, 10_900L to 1.0, 11_002L to 1.0),
                listOf(true, false, true)
            )
        )
        cases.forEach { case ->
            val quota = AccountQuota { case.extra }
            quota.setShares(mapOf("acme" to case.share), listOf(account), 0)
            val actual = case.takes.map { (atMillis, tokens) ->
                quota.tryTake(account, tokens, atMillis)
            }
            assertEquals(case.expected, actual, case.name)
        }
    }

    @Test
    fun `instances together stay within rate, burst and slack in any window`() {
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
            val used = taken.filter { it.first in fromMillis until fromMillis + 8_000 }
                .sumOf { it.second }
            assertTrue(used <= 8 * 1_000 + 1_000 + 500 + 4 * 7, "$used from $fromMillis ms on")
        }
    }
}
