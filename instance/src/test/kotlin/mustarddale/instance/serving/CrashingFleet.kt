/*
 * A simulated fleet before servers that some requests crash: instances with their own view, a
 * leader with its trials, and callers that come again. Time passes in steps of 10 ms.
 */
package mustarddale.instance.serving

import java.util.Random
import mustarddale.instance.serving.state.SuspectedRequests
import mustarddale.serving.crash.RequestTrials
import mustarddale.serving.crash.RequestVerdict
import mustarddale.time.Clock

/** What happens to a fleet, and how it is loaded. */
internal data class CrashCase(
    val name: String,
    val instances: Int,
    val servers: Int,
    val deadlyRequests: Int,
    val deadlyShare: Double = 1.0,
    val leaderLossMillis: Set<Long> = emptySet(),
    val restartMillis: Set<Long> = emptySet(),
    val serverLossMillis: Set<Long> = emptySet(),
    val resetMillis: Set<Long> = emptySet(),
    val cutInstances: Int = 0
)

/** A fleet of [case]; without [hasTrials] it forwards as before there were any. */
internal class CrashingFleet(
    private val case: CrashCase,
    seed: Long,
    private val hasTrials: Boolean
) {
    private val random = Random(seed)
    private var nowMillis = 0L
    private val clock = object : Clock {
        override fun monotonicMillis() = nowMillis

        override fun wallMillis() = nowMillis
    }
    private var leader: RequestTrials? = RequestTrials(nowMillis)
    private var leaderBackMillis = 0L
    private var record = emptyList<RequestVerdict>()
    private val members = List(case.instances) { Member(it < case.cutInstances) }
    private val servers = List(case.servers) { Server(it) }
    private val open = ArrayList<Attempt>()

    /** The requests that crash servers. */
    val deadly = List(case.deadlyRequests) { DeadlyRequest("deadly$it") }
    var soundRequests = 0
        private set
    var servedRequests = 0
        private set

    /** Sound requests that were refused because they were taken for deadly. */
    var wronglyBlocked = 0
        private set

    fun run(durationMillis: Long) {
        while (nowMillis < durationMillis) {
            nowMillis += STEP_MILLIS
            applyFaults()
            servers.forEach { it.step() }
            deadly.filter { it.dueMillis <= nowMillis }.forEach { start(it.digest, it) }
            if (random.nextInt(SOUND_STEPS) == 0) startSound()
            open.toList().forEach { it.step() }
            members.forEach { it.report() }
            if (nowMillis % RENEWAL_MILLIS ==
                0L
            ) {
                leader?.let { record = it.lastingVerdicts(nowMillis) }
            }
        }
    }

    private fun applyFaults() {
        if (nowMillis in case.leaderLossMillis) loseLeader()
        if (nowMillis in case.restartMillis) {
            loseLeader()
            open.clear()
            deadly.forEach { it.dueMillis = nowMillis + random.nextInt(MAX_PAUSE_MILLIS) }
            members.forEach { it.restart() }
        }
        if (nowMillis in case.serverLossMillis) {
            servers.shuffled(random).take(1 + servers.size / 3).forEach { it.crash() }
        }
        if (nowMillis in case.resetMillis) loseRequestsAt(servers.random())
        if (leader == null && nowMillis >= leaderBackMillis) {
            leader = RequestTrials(nowMillis).also { trials ->
                record.forEach { trials.adopt(it, nowMillis) }
            }
        }
        if (nowMillis % BLOCK_INTERVAL_MILLIS == 0L) leader?.blockSuspects(nowMillis)
    }

    private fun List<Server>.random() = this[random.nextInt(size)]

    private fun loseLeader() {
        leader = null
        leaderBackMillis = nowMillis + TAKEOVER_MILLIS
        members.forEach { it.forgetReports() }
    }

    private fun startSound() {
        soundRequests++
        val isPopular = random.nextInt(POPULAR_SHARE) == 0
        start(if (isPopular) "popular" else "sound$soundRequests", null)
    }

    private fun start(digest: String, deadly: DeadlyRequest?) {
        deadly?.dueMillis = Long.MAX_VALUE
        open += Attempt(digest, deadly, members[random.nextInt(members.size)])
    }

    private fun loseRequestsAt(server: Server) {
        open.filter { it.server === server }.forEach { it.lose() }
    }

    /** A request that crashes servers and comes again after each failure. */
    inner class DeadlyRequest(val digest: String) {
        var dueMillis = 1_000L + random.nextInt(MAX_PAUSE_MILLIS)
        private val crashMillis = ArrayList<Long>()
        val crashes: Int get() = crashMillis.size

        /** Runs later than the stable window after the third crash. */
        var lateRuns = 0
            private set

        fun recordRun() {
            val third = crashMillis.getOrNull(2)
            if (third != null && nowMillis > third + STABLE_WINDOW_MILLIS) lateRuns++
        }

        fun recordCrash() {
            crashMillis += nowMillis
        }
    }

    private inner class Server(private val index: Int) {
        private var runs = 0
        private var upMillis = 0L
        val isUp: Boolean get() = nowMillis >= upMillis
        val run: String get() = "s$index-$runs"
        private val isVulnerable = random.nextDouble() < case.deadlyShare

        fun step() {
            val killer = open.firstOrNull {
                it.server === this && it.deadly != null && it.endsMillis <= nowMillis
            } ?: return
            if (!isVulnerable) return
            killer.deadly?.recordCrash()
            crash()
        }

        fun crash() {
            loseRequestsAt(this)
            runs++
            upMillis = nowMillis + RESTART_MILLIS
        }
    }

    private inner class Member(private val isCut: Boolean) {
        var suspects = SuspectedRequests(clock)
        private var losses = ArrayList<Triple<Long, String, String>>()
        private var unreported = 0
        private var heardLeader: RequestTrials? = null
        private var heardVersion = -1L
        private val offsetMillis = random.nextInt(5) * STEP_MILLIS

        fun restart() {
            suspects = SuspectedRequests(clock)
            suspects.updateFromRecord(record)
            losses.clear()
            unreported = 0
        }

        fun forgetReports() {
            unreported = losses.count { nowMillis - it.first < LOSS_TTL_MILLIS }
        }

        fun lose(digest: String, run: String) {
            suspects.recordLost(digest, run)
            losses += Triple(nowMillis, digest, run)
            unreported++
        }

        val reachesLeader: Boolean
            get() = leader != null && !(isCut && nowMillis in CUT_MILLIS)

        fun report() {
            if ((nowMillis + offsetMillis) % REPORT_MILLIS != 0L || !reachesLeader) return
            suspects.removeExpired()
            val trials = leader ?: return
            if (heardLeader !== trials) {
                suspects.current().forEach { trials.adopt(it, nowMillis) }
                heardLeader = trials
                heardVersion = -1
            }
            losses.takeLast(unreported).forEach { (_, digest, run) ->
                trials.recordLost(digest, "orders", run, nowMillis)
            }
            unreported = 0
            trials.recordAnswers(suspects.takeAnswered())
            trials.recordServing(suspects.takeServingServers())
            if (trials.version == heardVersion) return
            heardVersion = trials.version
            suspects.update(trials.verdicts(nowMillis))
        }
    }

    private inner class Attempt(
        private val digest: String,
        val deadly: DeadlyRequest?,
        private val member: Member
    ) {
        private val startMillis = nowMillis
        private val tried = HashSet<Server>()
        private var sentMillis = 0L
        private var waitUntilMillis = nowMillis
        private var sentCount = 0
        var server: Server? = null
            private set
        private var run = ""
        var endsMillis = Long.MAX_VALUE
            private set

        fun step() {
            if (server == null) {
                trySend()
            } else if (endsMillis <= nowMillis) {
                answer()
            }
        }

        private fun trySend() {
            if (nowMillis < waitUntilMillis) return
            val target = servers.filter {
                it.isUp && it !in tried
            }.ifEmpty { return end(0) }.random()
            val waitMillis = if (hasTrials) trialWaitMillis(target) else 0
            if (waitMillis > 0) {
                if (nowMillis + waitMillis >= startMillis + MAX_WAIT_MILLIS) {
                    val verdict = member.suspects.verdictOn(digest)
                    if (deadly == null && verdict?.isBlocked == true) wronglyBlocked++
                    return end(waitMillis)
                }
                waitUntilMillis = nowMillis + waitMillis
                return
            }
            sentCount++
            deadly?.recordRun()
            tried += target
            server = target
            run = target.run
            sentMillis = nowMillis
            endsMillis = nowMillis + 30 + random.nextInt(100)
        }

        private fun trialWaitMillis(target: Server): Long {
            if (!member.suspects.isSuspected(digest)) return 0
            val verdict = member.suspects.verdictOn(digest)
            if (verdict != null && verdict.forbidsSending) return maxOf(verdict.probeInMillis, 1)
            if (!member.reachesLeader) return NO_LEADER_WAIT_MILLIS
            return leader?.requestTrial(digest, "orders", target.run, nowMillis)
                ?: NO_LEADER_WAIT_MILLIS
        }

        private fun answer() {
            member.suspects.recordResponse(run, sentMillis)
            member.suspects.recordAnswer(digest)
            if (deadly == null) servedRequests++
            end(0)
        }

        /** Ends the attempt at this server without an answer. */
        fun lose() {
            member.lose(digest, run)
            server = null
            endsMillis = Long.MAX_VALUE
            if (sentCount >= MAX_ATTEMPTS) end(0)
        }

        private fun end(retryAfterMillis: Long) {
            open -= this
            val pauseMillis = minOf(retryAfterMillis, MAX_RETRY_AFTER_MILLIS)
            deadly?.dueMillis = nowMillis + 20 + pauseMillis + random.nextInt(MAX_PAUSE_MILLIS)
        }
    }

    private companion object {
        const val STEP_MILLIS = 10L
        const val SOUND_STEPS = 2
        const val POPULAR_SHARE = 5
        const val MAX_ATTEMPTS = 3
        const val MAX_PAUSE_MILLIS = 800
        const val MAX_RETRY_AFTER_MILLIS = 2_000L
        const val STABLE_WINDOW_MILLIS = 3_000L
        const val RESTART_MILLIS = 1_500L
        const val TAKEOVER_MILLIS = 2_500L
        const val RENEWAL_MILLIS = 500L
        const val BLOCK_INTERVAL_MILLIS = 200L
        const val REPORT_MILLIS = 50L
        const val LOSS_TTL_MILLIS = 30_000L
        const val MAX_WAIT_MILLIS = 1_000L
        const val NO_LEADER_WAIT_MILLIS = 100L
        val CUT_MILLIS = 5_000L..20_000L
    }
}
