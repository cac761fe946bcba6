package mustarddale.serving.limit

import java.util.PriorityQueue
import java.util.Random
import kotlin.math.ln
import mustarddale.serving.backend.BackendLoad

/** A fault of a simulated fleet, from one time until another. */
internal sealed interface Fault {
    /** No instance leads. */
    data class NoLeader(val fromMillis: Long, val untilMillis: Long) : Fault

    /** [instance] does nothing; its callers' requests wait. */
    data class Paused(val instance: Int, val fromMillis: Long, val untilMillis: Long) : Fault

    /** [instance] exchanges no messages with the leader. */
    data class CutOff(val instance: Int, val fromMillis: Long, val untilMillis: Long) : Fault
}

/** A server whose limit changes at the times in [limits]; null means that it sets none. */
internal class LimitedServer(val name: String, private val limits: List<Pair<Long, Double?>>) {
    val arrivalMillis = ArrayList<Long>()

    fun limitAt(millis: Long): Double? = limits.lastOrNull { it.first <= millis }?.second

    private fun allowed(fromMillis: Long, untilMillis: Long, lagMillis: Long): Double? {
        var sum = 0.0
        for (millis in fromMillis until untilMillis step STEP_MILLIS) {
            val limit = limitAt(millis) ?: return null
            sum += maxOf(limit, limitAt(millis - lagMillis) ?: return null) * STEP_MILLIS / 1_000
        }
        return sum
    }

    /** Returns the windows in which the server got more than one and a half times its limit. */
    fun excesses(endMillis: Long): List<String> =
        (0..endMillis - WINDOW_MILLIS step STEP_MILLIS).mapNotNull { start ->
            val isSettled = allowed(start - STABLE_WINDOW_MILLIS, start, 0) != null
            val allowed = allowed(start, start + WINDOW_MILLIS, LAG_MILLIS)
            if (!isSettled || allowed == null) return@mapNotNull null
            val count = arrivalMillis.count { it in start..<start + WINDOW_MILLIS }
            val bound = 1.5 * allowed + 5
            "$count from $start ms on, at most $bound".takeIf { count > bound }
        }

    /** Returns the used part of limits that had not changed lately, from 0 to 1 or more. */
    fun usedFraction(endMillis: Long): Double {
        val settled = (0 until endMillis step STEP_MILLIS).filter { step ->
            val current = limitAt(step + STEP_MILLIS - 1)
            current != null && limits.none { it.first in step - STABLE_WINDOW_MILLIS..step } &&
                step > STABLE_WINDOW_MILLIS
        }
        val used = settled.sumOf { start ->
            arrivalMillis.count { it in start..<start + STEP_MILLIS }
        }
        return used / settled.sumOf { checkNotNull(allowed(it, it + STEP_MILLIS, 0)) }
    }

    private companion object {
        const val STEP_MILLIS = 50L
        const val WINDOW_MILLIS = 4_000L
        const val STABLE_WINDOW_MILLIS = 3_000L

        /** How long a lower limit may take to reach all instances. */
        const val LAG_MILLIS = 500L
    }
}

/**
 * Instances that send to servers with limits, with late messages and late responses. Callers send
 * [demandFactor] times what the servers allow at most, but few requests in [quietMillis], and
 * come back three times if refused. Responses take up to [maxResponseMillis] and overtake each
 * other.
 */
internal class LimitedFleet(
    seed: Long,
    instanceCount: Int,
    private val demandFactor: Double,
    private val quietMillis: LongRange,
    private val maxResponseMillis: Long,
    private val limits: List<Pair<Long, Double?>>,
    private val faults: List<Fault>
) {
    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.number }))
    private var eventCount = 0L
    private var nowMillis = 0L
    private var leader = Leader()
    private var term = 0
    private val instances = List(instanceCount) { Instance(it) }
    val servers = List(SERVER_COUNT) { LimitedServer("server-$it", limits) }

    private class Event(val atMillis: Long, val number: Long, val action: () -> Unit)

    private fun after(millis: Long, action: () -> Unit) {
        eventCount++
        events.add(Event(nowMillis + millis, eventCount, action))
    }

    fun run(untilMillis: Long) {
        faults.filterIsInstance<Fault.NoLeader>().forEach { fault ->
            if (fault.untilMillis < untilMillis) {
                after(fault.untilMillis) {
                    term++
                    leader = Leader()
                }
            }
        }
        instances.forEach { instance ->
            after(random.nextLong(REPORT_MILLIS)) { instance.reportPeriodically() }
        }
        servers.forEach { scheduleCaller(it) }
        while (true) {
            val event = events.poll() ?: return
            if (event.atMillis >= untilMillis) return
            nowMillis = event.atMillis
            event.action()
        }
    }

    private fun scheduleCaller(server: LimitedServer) {
        val factor = if (nowMillis in quietMillis) QUIET_FACTOR else demandFactor
        val perSecond = factor * maxOf(limits.mapNotNull { it.second }.max(), MIN_DEMAND)
        after((-ln(1 - random.nextDouble()) * 1_000 / perSecond).toLong()) {
            send(server, triesLeft = 4)
            scheduleCaller(server)
        }
    }

    private fun send(server: LimitedServer, triesLeft: Int) {
        if (triesLeft == 0) return
        instances[random.nextInt(instances.size)].handle(server) { retryMillis ->
            after(retryMillis + random.nextLong(RETRY_JITTER_MILLIS)) {
                send(server, triesLeft - 1)
            }
        }
    }

    private fun delayMillis() = 1 + random.nextLong(if (random.nextInt(20) == 0) 100 else 10)

    private fun hasLeader() = faults.none {
        it is Fault.NoLeader && nowMillis in it.fromMillis..<it.untilMillis
    }

    private inner class Leader {
        val registry = LimitRegistry()
        val pacer = RequestPacer(nowMillis)
        val startMillis = nowMillis
    }

    private inner class Instance(private val rank: Int) {
        private val view = LimitView()
        private val rotation = PermitRotation()
        private val loads = HashMap<LimitedServer, BackendLoad>()
        private var knownTerm = -1
        private var lastMessageMillis = Long.MAX_VALUE

        private fun resumeMillis() = faults.filterIsInstance<Fault.Paused>()
            .firstOrNull { it.instance == rank && nowMillis in it.fromMillis..<it.untilMillis }
            ?.untilMillis

        private fun isConnected() = hasLeader() && faults.none {
            it is Fault.CutOff && it.instance == rank &&
                nowMillis in it.fromMillis..<it.untilMillis
        }

        private fun whenRunning(action: () -> Unit) {
            val resumeMillis = resumeMillis() ?: return action()
            after(resumeMillis - nowMillis) { whenRunning(action) }
        }

        fun reportPeriodically() {
            whenRunning {
                report()
                if (lastMessageMillis < nowMillis - LEADERLESS_AFTER_MILLIS) {
                    rotation.onLeaderLost(nowMillis)
                }
                after(REPORT_MILLIS) { reportPeriodically() }
            }
        }

        private fun report() {
            if (!isConnected()) return
            val sentMillis = nowMillis
            val sentTerm = knownTerm
            val known = view.known()
            val observations = view.takeObservations()
            after(delayMillis()) {
                if (!hasLeader()) return@after
                val target = leader
                if (sentTerm != term) {
                    known.forEach {
                        target.registry.observe(
                            LimitObservation(it.server, it.requestsPerSecond, null)
                        )
                    }
                }
                if (observations.count { target.registry.observe(it) } > 0) {
                    instances.forEach { it.pushState(null) }
                }
                pushState(sentMillis)
            }
        }

        private fun pushState(reportSentMillis: Long?) {
            val limits = leader.registry.limits
            val leaderTerm = term
            val leaderMillis = nowMillis - leader.startMillis
            after(delayMillis()) {
                whenRunning {
                    if (!isConnected() || leaderTerm < term) return@whenRunning
                    apply(limits, leaderTerm, leaderMillis, reportSentMillis)
                }
            }
        }

        private fun apply(
            limits: List<ServerLimit>,
            leaderTerm: Int,
            leaderMillis: Long,
            reportSentMillis: Long?
        ) {
            val isNewLeader = leaderTerm > knownTerm
            // The first state of a leader answers a report to it.
            if (isNewLeader && reportSentMillis == null) return
            if (isNewLeader) view.forgetLeader()
            val before = view.requestsPerSecond
            knownTerm = leaderTerm
            lastMessageMillis = nowMillis
            rotation.onLeaderMessage(
                RotationPlace(rank, instances.size),
                leaderMillis,
                isNewLeader,
                nowMillis
            )
            view.update(limits, reportSentMillis ?: Long.MIN_VALUE, nowMillis)
            loads.filterKeys { before[it.name] != view.limitOf(it.name) }
                .forEach { it.value.resumePermits() }
        }

        /** Sends a request to [server], or calls [onRefused] with the time to come back after. */
        fun handle(server: LimitedServer, onRefused: (Long) -> Unit) {
            whenRunning { forward(server, onRefused) }
        }

        private fun forward(server: LimitedServer, onRefused: (Long) -> Unit) {
            val load = loads.getOrPut(server) { BackendLoad(slots = 100) }
            val limit = view.limitOf(server.name)
            when {
                limit == null -> sendTo(server)

                !load.mayRequestPermit(PRIORITY, nowMillis) ->
                    onRefused(load.permitWaitMillis(nowMillis))

                rotation.isActive -> {
                    val permit =
                        rotation.request(
                            server.name,
                            limit,
                            PermitRotation.MAX_DELAY_MILLIS,
                            nowMillis
                        )
                    use(permit, server, onRefused)
                }

                else -> askLeader(server, limit, onRefused)
            }
        }

        private fun askLeader(server: LimitedServer, limit: Double, onRefused: (Long) -> Unit) {
            val sentMillis = nowMillis
            if (!isConnected()) return use(null, server, onRefused)
            after(delayMillis()) {
                val known = leader.registry.limitOf(server.name)
                val permit = if (!hasLeader()) {
                    null
                } else {
                    val pacedLimit = listOfNotNull(limit, known).min()
                    leader.pacer.request(
                        server.name,
                        "$rank",
                        pacedLimit,
                        MAX_DELAY_MILLIS,
                        nowMillis
                    )
                }
                after(delayMillis()) {
                    whenRunning {
                        val isLate =
                            nowMillis - sentMillis >= RequestPacer.PERMIT_LIFETIME_MILLIS
                        use(permit.takeIf { !isLate && isConnected() }, server, onRefused)
                    }
                }
            }
        }

        private fun use(permit: SendPermit?, server: LimitedServer, onRefused: (Long) -> Unit) {
            if (permit is SendPermit.Granted) {
                val dueMillis = nowMillis + permit.delayMillis
                after(permit.delayMillis) {
                    whenRunning {
                        val lateMillis = nowMillis - dueMillis
                        if (lateMillis < RequestPacer.PERMIT_LIFETIME_MILLIS) sendTo(server)
                    }
                }
                return
            }
            val retryMillis = (permit as? SendPermit.Refused)?.retryMillis ?: NO_ANSWER_MILLIS
            loads.getValue(server).deferPermits(nowMillis + retryMillis, PRIORITY, nowMillis)
            onRefused(retryMillis)
        }

        private fun sendTo(server: LimitedServer) {
            val sentMillis = nowMillis
            after(delayMillis()) {
                server.arrivalMillis.add(nowMillis)
                val limit = server.limitAt(nowMillis)
                val signal = limit?.let { LimitSignal.Limited(it) } ?: LimitSignal.Unlimited
                after(random.nextLong(maxResponseMillis)) {
                    whenRunning { receive(server, signal, sentMillis) }
                }
            }
        }

        private fun receive(server: LimitedServer, signal: LimitSignal, sentMillis: Long) {
            val before = view.limitOf(server.name)
            view.record(server.name, signal, sentMillis, !rotation.isActive, nowMillis)
            if (view.limitOf(server.name) == before) return
            loads[server]?.resumePermits()
            after(URGENT_MILLIS) { report() }
        }
    }

    private companion object {
        const val SERVER_COUNT = 3
        const val REPORT_MILLIS = 250L
        const val URGENT_MILLIS = 50L
        const val LEADERLESS_AFTER_MILLIS = 1_100L
        const val NO_ANSWER_MILLIS = 250L
        const val RETRY_JITTER_MILLIS = 600L
        const val MAX_DELAY_MILLIS = 125L
        const val PRIORITY = 3
        const val MIN_DEMAND = 1.0
        const val QUIET_FACTOR = 0.3
    }
}
