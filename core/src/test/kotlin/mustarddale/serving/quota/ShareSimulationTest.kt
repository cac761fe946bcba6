package mustarddale.serving.quota

import java.util.Random
import kotlin.test.assertTrue
import mustarddale.serving.leadership.InstanceAddress
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange

/**
 * Simulates successive leaders and several instances, and checks that they never use more than the
 * rate of an account. Messages are lost or delayed, instances restart or stop reporting, and there
 * are gaps between leaders.
 */
class ShareSimulationTest {
    /** An instance that uses its newest granted shares until their lease ends. */
    private class SimulatedInstance(val name: String) {
        var run = 0
        var term = 0
        var connectedTerm = 0
        private var revision = 0L
        private var shares = emptyMap<String, Double>()
        private var leaseEndMillis = 0L
        private var confirmedSentMillis: Long? = null
        private var effectiveShares = EffectiveShares()

        private fun leasedShares(nowMillis: Long) =
            if (nowMillis < leaseEndMillis) shares else emptyMap()

        fun usableShares(nowMillis: Long) =
            effectiveShares.compute(leasedShares(nowMillis), TOTAL, nowMillis)

        /** Until when the process has ended and the next one has not started. */
        var endedUntilMillis = 0L

        fun restart() {
            run++
            revision = 0
            shares = emptyMap()
            confirmedSentMillis = null
            effectiveShares = EffectiveShares()
        }

        fun report(term: Int, nowMillis: Long, random: Random) = ShareReport(
            name,
            "$name-$run",
            if (this.term == term) revision else 0,
            leasedShares(nowMillis),
            mapOf(ACCOUNT to random.nextInt(1_000).toDouble()),
            confirmedSentMillis.takeIf { this.term == term },
            InstanceAddress("10.0.0.1", 7_600)
        )

        fun apply(term: Int, grant: ShareGrant, reportSentMillis: Long, nowMillis: Long) {
            val isNewer = term > this.term || grant.revision >= revision
            if (term != connectedTerm || !isNewer) return
            this.term = term
            confirmedSentMillis = reportSentMillis
            effectiveShares.onLeaderMessage(nowMillis)
            revision = grant.revision
            shares = grant.shares
            leaseEndMillis = reportSentMillis + LEASE_MILLIS
        }
    }

    private class Fleet(seed: Long, size: Int) {
        private val random = Random(seed)
        private val instances = List(size) { SimulatedInstance("m$it") }
        private var term = 1
        private var recorded = emptyList<ShareHolder>()
        private var allocator = ShareAllocator(emptyList(), TOTAL, LEASE_MILLIS, 0)
        private var leaderStartMillis = 0L
        private var lendableShare = 0.0
        private val deliveries = ArrayList<Pair<Long, () -> Unit>>()

        fun step(nowMillis: Long) {
            changeLeader(nowMillis)
            if (random.nextInt(200) == 0) instances.forEach { end(it, nowMillis) }
            instances.forEach { instance ->
                if (random.nextInt(100) == 0) instance.restart()
                if (random.nextInt(200) == 0) end(instance, nowMillis)
                if (nowMillis <
                    instance.endedUntilMillis
                ) {
                    return@forEach detectEnd(instance, nowMillis)
                }
                val isSilent = (nowMillis / 3_000 + instance.name.hashCode()) % 4 == 0L
                val isReporting =
                    nowMillis >= leaderStartMillis && !isSilent && random.nextInt(4) == 0
                if (isReporting) exchange(instance, nowMillis)
            }
            deliveries.filter { it.first <= nowMillis }.forEach { it.second() }
            deliveries.removeIf { it.first <= nowMillis }
            if (nowMillis >= leaderStartMillis && nowMillis % LENDING_INTERVAL_MILLIS == 0L) {
                lendableShare = allocator.lendableShare(ACCOUNT, nowMillis)
            }
        }

        private fun end(instance: SimulatedInstance, nowMillis: Long) {
            instance.restart()
            instance.endedUntilMillis = nowMillis + random.nextInt(3_000)
        }

        private fun detectEnd(instance: SimulatedInstance, nowMillis: Long) {
            val silent = allocator.silentHolders(nowMillis)
            if (instance.name in silent && random.nextInt(3) == 0) {
                allocator.recordEnded(instance.name, nowMillis)
            }
        }

        fun usedShare(nowMillis: Long): Double =
            instances.sumOf { it.usableShares(nowMillis)[ACCOUNT] ?: 0.0 } + lendableShare

        private fun changeLeader(nowMillis: Long) {
            if (random.nextInt(80) == 0) {
                term++
                leaderStartMillis = nowMillis + random.nextInt(4_000)
                lendableShare = 0.0
            }
            if (nowMillis in leaderStartMillis..<leaderStartMillis + STEP_MILLIS) {
                allocator = ShareAllocator(recorded, TOTAL, LEASE_MILLIS, nowMillis)
            }
        }

        private fun exchange(instance: SimulatedInstance, nowMillis: Long) {
            // An instance has one connection, so answers of the previous leader are dropped.
            instance.connectedTerm = term
            allocator.report(instance.report(term, nowMillis, random), nowMillis)
            if (random.nextInt(3) == 0) recorded = allocator.holders(nowMillis)
            val grant = allocator.grant(listOf(ACCOUNT), recorded, nowMillis)[instance.name]
            if (grant == null || random.nextInt(5) == 0) return
            val run = instance.run
            val sentTerm = term
            val arrivalMillis = nowMillis + random.nextInt(300)
            deliveries.add(
                arrivalMillis to {
                    if (instance.run == run) {
                        // Delivered in the next step, which may start later than the arrival.
                        instance.apply(sentTerm, grant, nowMillis, arrivalMillis)
                    }
                }
            )
        }
    }

    @Property(seed = "20261204", tries = 300)
    fun `used and lendable shares never exceed the rate`(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long
    ) {
        play(Fleet(seed, size = 5), 60_000)
    }

    @Property(seed = "20261206", tries = 6)
    fun `used and lendable shares of large fleets never exceed the rate`(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long
    ) {
        play(Fleet(seed, size = 95), 20_000)
        play(Fleet(seed, size = 300), 20_000)
    }

    private fun play(fleet: Fleet, lengthMillis: Long) {
        for (nowMillis in 0L..lengthMillis step STEP_MILLIS) {
            fleet.step(nowMillis)
            val usedShare = fleet.usedShare(nowMillis)
            assertTrue(
                usedShare <= 1 + 1e-9,
                "at $nowMillis ms used and lendable shares add up to $usedShare"
            )
        }
    }

    private companion object {
        const val ACCOUNT = "acme"
        const val TOTAL = 0.5
        const val LEASE_MILLIS = 10_000L
        const val STEP_MILLIS = 100L

        /** The interval at which the leader updates what it may lend. */
        const val LENDING_INTERVAL_MILLIS = 300L
    }
}
