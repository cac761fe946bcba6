package mustarddale.serving.quota

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import mustarddale.serving.leadership.InstanceAddress

class ShareAllocatorTest {
    private val leaseMillis = LEASE_MILLIS
    private val account = "acme"

    private fun report(name: String, wanted: Double, confirmed: Long = 0) =
        ShareReport(name, "$name-1", confirmed, emptyMap(), mapOf(account to wanted), null)

    @Test
    fun `shares follow demand once smaller ones are confirmed`() {
        val allocator = ShareAllocator(emptyList(), 1.0, leaseMillis, 0)
        val recorded = listOf("a", "b").map { ShareHolder(it, 1.0, leaseMillis) }
        allocator.report(report("a", 0.0), 0)
        allocator.report(report("b", 0.0), 0)
        val first = allocator.grant(listOf(account), recorded, 0)
        assertEquals(0.5, first.getValue("a").shares.getValue(account))
        allocator.report(report("a", 1_000.0, first.getValue("a").revision), 100)
        allocator.report(report("b", 0.0, first.getValue("b").revision), 100)
        val second = allocator.grant(listOf(account), recorded, 100)
        assertEquals(0.5, second.getValue("a").shares.getValue(account), "b may still use its half")
        allocator.report(report("b", 0.0, second.getValue("b").revision), 200)
        val third = allocator.grant(listOf(account), recorded, 200)
        assertTrue(third.getValue("a").shares.getValue(account) > 0.8)
    }

    @Test
    fun `a new leader does not grant what unreported instances may hold until their leases end`() {
        val lost = ShareHolder("gone", 0.2, leftMillis = 4_000)
        val recorded = listOf(ShareHolder("a", 1.0, leaseMillis))
        val allocator = ShareAllocator(listOf(lost), 1.0, leaseMillis, startMillis = 0)
        listOf(0L to 0.8, 3_900L to 0.8, 4_000L to 1.0).forEach { (nowMillis, expected) ->
            allocator.report(report("a", 10.0), nowMillis)
            val grant = allocator.grant(listOf(account), recorded, nowMillis).getValue("a")
            assertEquals(expected, grant.shares.getValue(account), 1e-9, "$nowMillis ms")
        }
    }

    @Test
    fun `what a process that has ended held is granted to others`() {
        class Case(val name: String, val reportedAtMillis: Long?, val expected: Double)

        val endedAtMillis = 1_000L
        val cases = listOf(
            Case("it has not reported to this leader", null, 1.0),
            Case("its last report is older than the end", 900, 1.0),
            Case("another process has reported since", 1_100, 0.5)
        )
        cases.forEach { case ->
            val lost = ShareHolder("gone", 0.5, 9_000, address = InstanceAddress("10.0.0.1", 7_600))
            val recorded = listOf("a", "gone").map { ShareHolder(it, 1.0, leaseMillis) }
            val allocator = ShareAllocator(listOf(lost), 1.0, leaseMillis, startMillis = 0)
            assertEquals(setOf("gone"), allocator.silentHolders(0).keys, case.name)
            case.reportedAtMillis?.let { allocator.report(report("gone", 0.0), it) }
            allocator.recordEnded("gone", endedAtMillis)
            allocator.report(report("a", 0.0), 1_200)
            val grant = allocator.grant(listOf(account), recorded, 1_200).getValue("a")
            assertEquals(case.expected, grant.shares.getValue(account), 1e-9, case.name)
        }
    }

    /** Guards against instances that wait for the store after a restart of all of them. */
    @Test
    fun `the next process of an instance that has ended is granted shares without a new record`() {
        val lost = ShareHolder("a", 0.5, 9_000, address = InstanceAddress("10.0.0.1", 7_600))
        val allocator = ShareAllocator(listOf(lost), 1.0, leaseMillis, startMillis = 0)
        allocator.recordEnded("a", 100)
        val recorded = allocator.holders(200)
        assertEquals(listOf("a"), recorded.map { it.instance })
        assertEquals(8_800, recorded.single().leftMillis)
        allocator.report(report("a", 0.0), 300)
        val grant = allocator.grant(listOf(account), recorded, 300).getValue("a")
        assertEquals(0.5, grant.shares.getValue(account), 1e-9)
        allocator.recordEnded("a", 400)
        val limits = allocator.holders(400).single()
        assertEquals(0.75, limits.maxShare(account), 1e-9, "what it held, with headroom")
        assertEquals(leaseMillis + 500, limits.leftMillis)
    }

    @Test
    fun `the share of an unreported instance reduces the shares of all others alike`() {
        val names = listOf("a", "b", "c", "d")
        val recorded = names.map { ShareHolder(it, 0.5, leaseMillis) }
        val lost = ShareHolder("gone", 0.2, leftMillis = 4_000)
        val allocator = ShareAllocator(listOf(lost), 0.5, leaseMillis, startMillis = 0)
        names.forEach { allocator.report(report(it, 10.0), 0) }
        val grants = allocator.grant(listOf(account), recorded, 0)
        names.forEach {
            assertEquals(0.075, grants.getValue(it).shares[account] ?: 0.0, 1e-9, it)
        }
    }

    @Test
    fun `the limits of an instance are kept by account`() {
        val allocator = ShareAllocator(emptyList(), 0.5, leaseMillis, startMillis = 0)
        listOf("a", "b", "c").forEach {
            allocator.report(report(it, if (it == "a") 9.0 else 0.0), 0)
        }
        val holder = allocator.holders(0).single { it.instance == "a" }
        assertEquals(0.5, holder.maxShare(account))
        assertEquals(0.25, holder.maxShare("other"))
        val lower = ShareHolder("a", 0.3, leaseMillis, mapOf("other" to 0.1))
        val combined = holder.atMost(lower)
        listOf(account to 0.3, "other" to 0.1, "third" to 0.25).forEach { (name, expected) ->
            assertEquals(expected, combined.maxShare(name), name)
        }
    }

    @Test
    fun `nothing is granted to an instance that is not recorded for the next leader`() {
        val allocator = ShareAllocator(emptyList(), 1.0, leaseMillis, 0)
        allocator.report(report("a", 10.0), 0)
        val grants = allocator.grant(listOf(account), emptyList(), 0)
        assertEquals(emptyMap(), grants.getValue("a").shares)
    }

    @Test
    fun `the leader lends nothing while an instance may be leaderless`() {
        val allocator = ShareAllocator(emptyList(), 0.5, leaseMillis, 0)
        val recorded = listOf(ShareHolder("a", 0.5, leaseMillis))
        // Each: current time, send time of the newest confirmed message, share that may be lent.
        listOf(
            Triple(0L, null, 0.5),
            Triple(100L, null, 0.0),
            Triple(200L, 100L, 0.5),
            Triple(799L, 100L, 0.5),
            Triple(800L, 100L, 0.0),
            Triple(900L, 850L, 0.5)
        ).forEach { (nowMillis, confirmedSentMillis, expected) ->
            val report = report("a", 1.0).copy(confirmedSentMillis = confirmedSentMillis)
            allocator.report(report, nowMillis)
            assertEquals(
                expected,
                allocator.lendableShare(account, nowMillis),
                1e-9,
                "$nowMillis ms"
            )
            allocator.grant(listOf(account), recorded, nowMillis)
        }
    }

    @Test
    fun `confirmations from before the end of a leadership do not count`() {
        val allocator = ShareAllocator(emptyList(), 0.5, leaseMillis, 0)
        allocator.grant(listOf(account), listOf(ShareHolder("a", 0.5, leaseMillis)), 0)
        allocator.report(report("a", 1.0).copy(currentShares = mapOf(account to 0.5)), 0)
        allocator.report(report("a", 1.0).copy(confirmedSentMillis = 100), 150)
        assertEquals(0.5, allocator.lendableShare(account, 150))
        allocator.onLeadershipEnded(200)
        assertEquals(0.0, allocator.lendableShare(account, 200))
        allocator.report(report("a", 1.0).copy(confirmedSentMillis = 190), 250)
        assertEquals(0.0, allocator.lendableShare(account, 250))
        allocator.report(report("a", 1.0).copy(confirmedSentMillis = 210), 260)
        assertEquals(0.5, allocator.lendableShare(account, 260))
    }

    @Test
    fun `an instance scales its shares up to the whole rate when the leader is silent`() {
        val shares = EffectiveShares()
        val granted = mapOf(account to 0.1)
        assertEquals(granted, shares.compute(granted, total = 0.5, nowMillis = 5_000))
        shares.onLeaderMessage(nowMillis = 5_000)
        listOf(5_000L to 0.1, 6_100L to 0.1, 6_101L to 0.2).forEach { (nowMillis, expected) ->
            val share = shares.compute(granted, total = 0.5, nowMillis).getValue(account)
            assertEquals(expected, share, 1e-9, "$nowMillis ms")
        }
        shares.onLeaderMessage(nowMillis = 7_000)
        assertEquals(granted, shares.compute(granted, total = 0.5, nowMillis = 7_000))
        shares.onLeadershipEnded()
        assertEquals(0.2, shares.compute(granted, total = 0.5, nowMillis = 7_001).getValue(account))
    }

    private companion object {
        const val LEASE_MILLIS = 10_000L
    }
}
