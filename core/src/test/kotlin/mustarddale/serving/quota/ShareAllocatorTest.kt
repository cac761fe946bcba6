package mustarddale.serving.quota

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ShareAllocatorTest {
    private val leaseMillis = LEASE_MILLIS
    private val account = "acme"

    private fun report(name: String, wanted: Double, confirmed: Long = 0) =
        ShareReport(name, "$name-1", confirmed, emptyMap(), mapOf(account to wanted), null)

    @Test
    fun `shares follow demand once smaller ones are confirmed`() {
        val ledger = ShareAllocator(emptyList(), 1.0, leaseMillis, 0)
        val both = listOf("a", "b").map { ShareHolder(it, 1.0, leaseMillis) }
        ledger.report(report("a", 0.0), 0)
        ledger.report(report("b", 0.0), 0)
        val first = ledger.grant(listOf(account), both, 0)
        assertEquals(0.5, first.getValue("a").shares.getValue(account))
        ledger.report(report("a", 1_000.0, first.getValue("a").revision), 100)
        ledger.report(report("b", 0.0, first.getValue("b").revision), 100)
        val second = ledger.grant(listOf(account), both, 100)
        assertEquals(0.5, second.getValue("a").shares.getValue(account), "b may still use its half")
        ledger.report(report("b", 0.0, second.getValue("b").revision), 200)
        val third = ledger.grant(listOf(account), both, 200)
        assertTrue(third.getValue("a").shares.getValue(account) > 0.8)
    }

    @Test
    fun `a new leader leaves what unknown instances may hold until their leases end`() {
        val gone = ShareHolder("gone", 0.2, leftMillis = 4_000)
        val recorded = listOf(ShareHolder("a", 1.0, leaseMillis))
        val ledger = ShareAllocator(listOf(gone), 1.0, leaseMillis, startMillis = 0)
        listOf(0L to 0.8, 3_900L to 0.8, 4_000L to 1.0).forEach { (nowMillis, expected) ->
            ledger.report(report("a", 10.0), nowMillis)
            val grant = ledger.grant(listOf(account), recorded, nowMillis).getValue("a")
            assertEquals(expected, grant.shares.getValue(account), 1e-9, "$nowMillis ms")
        }
    }

    @Test
    fun `what an unknown instance may hold is missing to all others alike`() {
        val names = listOf("a", "b", "c", "d")
        val recorded = names.map { ShareHolder(it, 0.5, leaseMillis) }
        val gone = ShareHolder("gone", 0.2, leftMillis = 4_000)
        val ledger = ShareAllocator(listOf(gone), 0.5, leaseMillis, startMillis = 0)
        names.forEach { ledger.report(report(it, 10.0), 0) }
        val grants = ledger.grant(listOf(account), recorded, 0)
        names.forEach {
            assertEquals(0.075, grants.getValue(it).shares[account] ?: 0.0, 1e-9, it)
        }
    }

    @Test
    fun `what an instance holds of one account says nothing of another`() {
        val ledger = ShareAllocator(emptyList(), 0.5, leaseMillis, startMillis = 0)
        listOf("a", "b", "c").forEach { ledger.report(report(it, if (it == "a") 9.0 else 0.0), 0) }
        val holder = ledger.holders(0).single { it.instance == "a" }
        assertEquals(0.5, holder.maxShare(account))
        assertEquals(0.25, holder.maxShare("other"))
        val less = ShareHolder("a", 0.3, leaseMillis, mapOf("other" to 0.1))
        val both = holder.atMost(less)
        listOf(account to 0.3, "other" to 0.1, "third" to 0.25).forEach { (name, expected) ->
            assertEquals(expected, both.maxShare(name), name)
        }
    }

    @Test
    fun `nothing is granted to an instance that a successor would not know of`() {
        val ledger = ShareAllocator(emptyList(), 1.0, leaseMillis, 0)
        ledger.report(report("a", 10.0), 0)
        val grants = ledger.grant(listOf(account), emptyList(), 0)
        assertEquals(emptyMap(), grants.getValue("a").shares)
    }

    @Test
    fun `the leader lends less while an instance may be alone, and again once it is heard`() {
        val ledger = ShareAllocator(emptyList(), 0.5, leaseMillis, 0)
        val recorded = listOf(ShareHolder("a", 0.5, leaseMillis))
        // Each: now, when the message was sent that the instance confirms, the part to lend.
        listOf(
            Triple(0L, null, 0.5),
            Triple(100L, null, 0.0),
            Triple(200L, 100L, 0.5),
            Triple(799L, 100L, 0.5),
            Triple(800L, 100L, 0.0),
            Triple(900L, 850L, 0.5)
        ).forEach { (nowMillis, heardMillis, expected) ->
            val report = report("a", 1.0).copy(heardMillis = heardMillis)
            ledger.report(report, nowMillis)
            assertEquals(expected, ledger.lendableShare(account, nowMillis), 1e-9, "$nowMillis ms")
            ledger.grant(listOf(account), recorded, nowMillis)
        }
    }

    @Test
    fun `what was confirmed before the leader said that it ended does not count`() {
        val ledger = ShareAllocator(emptyList(), 0.5, leaseMillis, 0)
        ledger.grant(listOf(account), listOf(ShareHolder("a", 0.5, leaseMillis)), 0)
        ledger.report(report("a", 1.0).copy(sharesInForce = mapOf(account to 0.5)), 0)
        ledger.report(report("a", 1.0).copy(heardMillis = 100), 150)
        assertEquals(0.5, ledger.lendableShare(account, 150))
        ledger.onLeadershipEnded(200)
        assertEquals(0.0, ledger.lendableShare(account, 200))
        ledger.report(report("a", 1.0).copy(heardMillis = 190), 250)
        assertEquals(0.0, ledger.lendableShare(account, 250))
        ledger.report(report("a", 1.0).copy(heardMillis = 210), 260)
        assertEquals(0.5, ledger.lendableShare(account, 260))
    }

    @Test
    fun `an instance uses its shares of the whole rate once the leader is silent`() {
        val lone = EffectiveShares()
        val granted = mapOf(account to 0.1)
        assertEquals(granted, lone.compute(granted, total = 0.5, nowMillis = 5_000))
        lone.onLeaderMessage(nowMillis = 5_000)
        listOf(5_000L to 0.1, 6_100L to 0.1, 6_101L to 0.2).forEach { (nowMillis, expected) ->
            val share = lone.compute(granted, total = 0.5, nowMillis).getValue(account)
            assertEquals(expected, share, 1e-9, "$nowMillis ms")
        }
        lone.onLeaderMessage(nowMillis = 7_000)
        assertEquals(granted, lone.compute(granted, total = 0.5, nowMillis = 7_000))
        lone.onLeadershipEnded()
        assertEquals(0.2, lone.compute(granted, total = 0.5, nowMillis = 7_001).getValue(account))
    }

    private companion object {
        const val LEASE_MILLIS = 10_000L
    }
}
