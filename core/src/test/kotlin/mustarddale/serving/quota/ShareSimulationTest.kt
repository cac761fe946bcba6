package mustarddale.serving.quota

import java.util.Random
import kotlin.test.assertTrue
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange

/** Leaders and instances together, with lost messages, restarts and gaps between leaders. */
class ShareSimulationTest {
    /** An instance that uses the shares it was last granted until their lease ends. */
    private class Member(val name: String) {
        var run = 0
        var term = 0
        var connectedTo = 0
        private var revision = 0L
        private var shares = emptyMap<String, Double>()
        private var untilMillis = 0L
        private var heardMillis: Long? = null
        private var lone = EffectiveShares()

        private fun granted(nowMillis: Long) = if (nowMillis < untilMillis) shares else emptyMap()

        fun compute(nowMillis: Long) = lone.compute(granted(nowMillis), TOTAL, nowMillis)

        fun restart() {
            run++
            revision = 0
            shares = emptyMap()
            heardMillis = null
            lone = EffectiveShares()
        }

        fun report(term: Int, nowMillis: Long, random: Random) = ShareReport(
            name,
            "$name-$run",
            if (this.term == term) revision else 0,
            granted(nowMillis),
            mapOf(ACCOUNT to random.nextInt(1_000).toDouble()),
            heardMillis.takeIf { this.term == term }
        )

        fun take(term: Int, grant: ShareGrant, askedMillis: Long, nowMillis: Long) {
            val isNewer = term > this.term || grant.revision >= revision
            if (term != connectedTo || !isNewer) return
            this.term = term
            heardMillis = askedMillis
            lone.onLeaderMessage(nowMillis)
            revision = grant.revision
            shares = grant.shares
            untilMillis = askedMillis + LEASE_MILLIS
        }
    }

    private class Fleet(seed: Long) {
        private val random = Random(seed)
        private val members = List(5) { Member("m$it") }
        private var term = 1
        private var recorded = emptyList<ShareHolder>()
        private var ledger = ShareAllocator(emptyList(), TOTAL, LEASE_MILLIS, 0)
        private var leaderFromMillis = 0L
        private var lentPart = 0.0
        private val answers = ArrayList<Pair<Long, () -> Unit>>()

        fun step(nowMillis: Long) {
            changeLeader(nowMillis)
            members.forEach { member ->
                if (random.nextInt(100) == 0) member.restart()
                val isSilent = (nowMillis / 3_000 + member.name.hashCode()) % 4 == 0L
                val reports = nowMillis >= leaderFromMillis && !isSilent && random.nextInt(4) == 0
                if (reports) exchange(member, nowMillis)
            }
            answers.filter { it.first <= nowMillis }.forEach { it.second() }
            answers.removeIf { it.first <= nowMillis }
            if (nowMillis >= leaderFromMillis && nowMillis % LEND_MILLIS == 0L) {
                lentPart = ledger.lendableShare(ACCOUNT, nowMillis)
            }
        }

        fun used(nowMillis: Long): Double =
            members.sumOf { it.compute(nowMillis)[ACCOUNT] ?: 0.0 } + lentPart

        private fun changeLeader(nowMillis: Long) {
            if (random.nextInt(80) == 0) {
                term++
                leaderFromMillis = nowMillis + random.nextInt(4_000)
                lentPart = 0.0
            }
            if (nowMillis in leaderFromMillis..<leaderFromMillis + STEP_MILLIS) {
                ledger = ShareAllocator(recorded, TOTAL, LEASE_MILLIS, nowMillis)
            }
        }

        private fun exchange(member: Member, nowMillis: Long) {
            // An instance has one connection: with a new leader's the old one's answers end.
            member.connectedTo = term
            ledger.report(member.report(term, nowMillis, random), nowMillis)
            if (random.nextInt(3) == 0) recorded = ledger.holders(nowMillis)
            val grant = ledger.grant(listOf(ACCOUNT), recorded, nowMillis)[member.name]
            if (grant == null || random.nextInt(5) == 0) return
            val run = member.run
            val sentTerm = term
            val takenMillis = nowMillis + random.nextInt(300)
            answers.add(
                takenMillis to {
                    if (member.run == run) {
                        // Steps are coarse: it is taken with the next one.
                        member.take(sentTerm, grant, nowMillis, takenMillis)
                    }
                }
            )
        }
    }

    @Property(seed = "20261204", tries = 300)
    fun `shares and pool never exceed the rate`(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long
    ) {
        val fleet = Fleet(seed)
        for (nowMillis in 0L..60_000L step STEP_MILLIS) {
            fleet.step(nowMillis)
            val used = fleet.used(nowMillis)
            assertTrue(used <= 1 + 1e-9, "at $nowMillis ms shares and pool add up to $used")
        }
    }

    private companion object {
        const val ACCOUNT = "acme"
        const val TOTAL = 0.5
        const val LEASE_MILLIS = 10_000L
        const val STEP_MILLIS = 100L

        /** How often the leader works out what it lends. */
        const val LEND_MILLIS = 300L
    }
}
