package mustarddale.serving.quota

import java.util.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange

class ShareLedgerTest {
    private val leaseMillis = LEASE_MILLIS
    private val account = "acme"

    /** An instance that uses the shares it was last granted until their lease ends. */
    private class Member(val name: String) {
        var run = 0
        var term = 0
        var connectedTo = 0
        var revision = 0L
        var shares = emptyMap<String, Double>()
        var untilMillis = 0L
        var heardMillis: Long? = null
        var lone = LoneShares()

        fun granted(nowMillis: Long) = if (nowMillis < untilMillis) shares else emptyMap()

        fun inForce(nowMillis: Long) = lone.inForce(granted(nowMillis), 0.5, nowMillis)

        fun restart() {
            run++
            revision = 0
            shares = emptyMap()
            heardMillis = null
            lone = LoneShares()
        }

        fun report(term: Int, nowMillis: Long, random: Random) = ShareReport(
            name,
            "$name-$run",
            if (this.term == term) revision else 0,
            granted(nowMillis),
            mapOf("acme" to random.nextInt(1_000).toDouble()),
            heardMillis.takeIf { this.term == term }
        )

        fun take(term: Int, grant: ShareGrant, askedMillis: Long, nowMillis: Long) {
            this.term = term
            heardMillis = askedMillis
            lone.heard(nowMillis)
            revision = grant.revision
            shares = grant.shares
            untilMillis = askedMillis + LEASE_MILLIS
        }
    }

    @Property(seed = "20261204", tries = 300)
    fun `shares and pool never exceed the rate, over lost messages, restarts and new leaders`(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long
    ) {
        val random = Random(seed)
        val members = List(5) { Member("m$it") }
        var term = 1
        var recorded = emptyList<ShareHolder>()
        var ledger = ShareLedger(emptyList(), 0.5, leaseMillis, 0)
        var leaderFromMillis = 0L
        var lentPart = 0.0
        val answers = ArrayList<Triple<Long, Int, (Long) -> Unit>>()
        for (nowMillis in 0L..60_000L step 100) {
            if (random.nextInt(80) == 0) {
                term++
                leaderFromMillis = nowMillis + random.nextInt(4_000)
                lentPart = 0.0
            }
            if (nowMillis in leaderFromMillis..<leaderFromMillis + 100) {
                ledger = ShareLedger(recorded, 0.5, leaseMillis, nowMillis)
            }
            val isLed = nowMillis >= leaderFromMillis
            members.forEach { member ->
                if (random.nextInt(100) == 0) member.restart()
                val isSilent = (nowMillis / 3_000 + member.name.hashCode()) % 4 == 0L
                if (!isLed || isSilent || random.nextInt(4) != 0) return@forEach
                // An instance has one connection: with a new leader's the old one's answers end.
                member.connectedTo = term
                ledger.report(member.report(term, nowMillis, random), nowMillis)
                if (random.nextInt(3) == 0) recorded = ledger.holders(nowMillis)
                val grant = ledger.grant(listOf(account), recorded, nowMillis)[member.name]
                if (grant == null || random.nextInt(5) == 0) return@forEach
                val run = member.run
                val sentTerm = term
                answers.add(
                    Triple(nowMillis + random.nextInt(300), term) { takenMillis ->
                        val isCurrent = member.run == run && sentTerm == member.connectedTo
                        val isNewer = sentTerm > member.term || grant.revision >= member.revision
                        if (isCurrent && isNewer) {
                            member.take(sentTerm, grant, nowMillis, takenMillis)
                        }
                    }
                )
            }
            answers.filter { it.first <= nowMillis }.forEach { it.third(nowMillis) }
            answers.removeIf { it.first <= nowMillis }
            if (isLed && nowMillis % 300 == 0L) lentPart = ledger.lendablePart(account, nowMillis)
            val sum = members.sumOf { it.inForce(nowMillis)[account] ?: 0.0 } + lentPart
            assertTrue(sum <= 1 + 1e-9, "at $nowMillis ms shares and pool add up to $sum")
        }
    }

    private fun report(name: String, wanted: Double, confirmed: Long = 0) =
        ShareReport(name, "$name-1", confirmed, emptyMap(), mapOf(account to wanted), null)

    @Test
    fun `shares follow demand once smaller ones are confirmed`() {
        val ledger = ShareLedger(emptyList(), 1.0, leaseMillis, 0)
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
        val gone = ShareHolder("gone", maxShare = 0.2, leftMillis = 4_000)
        val recorded = listOf(ShareHolder("a", 1.0, leaseMillis))
        val ledger = ShareLedger(listOf(gone), 1.0, leaseMillis, startMillis = 0)
        listOf(0L to 0.8, 3_900L to 0.8, 4_000L to 1.0).forEach { (nowMillis, expected) ->
            ledger.report(report("a", 10.0), nowMillis)
            val grant = ledger.grant(listOf(account), recorded, nowMillis).getValue("a")
            assertEquals(expected, grant.shares.getValue(account), 1e-9, "$nowMillis ms")
        }
    }

    @Test
    fun `nothing is granted to an instance that a successor would not know of`() {
        val ledger = ShareLedger(emptyList(), 1.0, leaseMillis, 0)
        ledger.report(report("a", 10.0), 0)
        val grants = ledger.grant(listOf(account), emptyList(), 0)
        assertEquals(emptyMap(), grants.getValue("a").shares)
    }

    @Test
    fun `the leader lends less while an instance may be alone, and again once it is heard`() {
        val ledger = ShareLedger(emptyList(), 0.5, leaseMillis, 0)
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
            assertEquals(expected, ledger.lendablePart(account, nowMillis), 1e-9, "$nowMillis ms")
            ledger.grant(listOf(account), recorded, nowMillis)
        }
    }

    @Test
    fun `an instance uses its shares of the whole rate once the leader is silent`() {
        val lone = LoneShares()
        val granted = mapOf(account to 0.1)
        assertEquals(granted, lone.inForce(granted, total = 0.5, nowMillis = 5_000))
        lone.heard(nowMillis = 5_000)
        listOf(5_000L to 0.1, 6_100L to 0.1, 6_101L to 0.2).forEach { (nowMillis, expected) ->
            val share = lone.inForce(granted, total = 0.5, nowMillis).getValue(account)
            assertEquals(expected, share, 1e-9, "$nowMillis ms")
        }
        lone.heard(nowMillis = 7_000)
        assertEquals(granted, lone.inForce(granted, total = 0.5, nowMillis = 7_000))
    }

    private companion object {
        const val LEASE_MILLIS = 10_000L
    }
}
