/*
 * The leader's figures on the servers, merged from the reports of all instances: the newest load
 * that each server has reported to any of them, and its performance from the times that all of them
 * have seen. Entries get a new number when they have changed noticeably, so that a member is sent
 * only those that are newer than its last message.
 */
package mustarddale.serving.backend

import kotlin.math.abs

/** The figures of one term as leader; not thread-safe. */
public class FleetLoads {
    private val servers = HashMap<Int, Server>()

    /** The number of the newest change. */
    public var lastNumber: Long = 0
        private set

    /** Merges the [news] of an instance; servers of which [slotsOf] knows no slots are ignored. */
    public fun report(news: ServerObservations, nowMillis: Long, slotsOf: (Int) -> Int?) {
        news.figures.forEach { figure ->
            serverOf(figure.key, slotsOf)?.report(figure, nowMillis)
        }
        news.samples.forEach { entry ->
            serverOf(entry.key, slotsOf)?.record(entry, nowMillis)
        }
    }

    private fun serverOf(key: Int, slotsOf: (Int) -> Int?): Server? {
        servers[key]?.let { return it }
        val slots = slotsOf(key) ?: return null
        return Server(key, slots).also { servers[key] = it }
    }

    /** Returns what has changed after [number], as of [nowMillis]. */
    public fun since(number: Long, nowMillis: Long): ServerObservations {
        if (number >= lastNumber) return EMPTY
        val figures = ArrayList<ServerFigure>()
        val estimates = ArrayList<ServerEstimate>()
        servers.values.forEach { server ->
            val ageMillis = nowMillis - server.seenAtMillis
            if (server.figureNumber > number && ageMillis < MAX_AGE_MILLIS) {
                server.figure?.let { figures += it.copy(ageMillis = ageMillis) }
            }
            if (server.estimateNumber > number) {
                server.estimate?.let { estimates += ServerEstimate(server.key, it) }
            }
        }
        return ServerObservations(figures, emptyList(), estimates)
    }

    /** Forgets the servers whose keys are not in [keys]. */
    public fun retain(keys: Set<Int>) {
        servers.keys.retainAll(keys)
    }

    private inner class Server(val key: Int, private val slots: Int) {
        private val curve = ConcurrencyCurve(slots)
        var figure: ServerFigure? = null
            private set
        var seenAtMillis = Long.MIN_VALUE
            private set
        var figureNumber = 0L
            private set
        private var numbered: ServerFigure? = null
        private var numberedAtMillis = 0L
        var estimate: FleetEstimate? = null
            private set
        var estimateNumber = 0L
            private set
        private var estimatedAtMillis = 0L

        fun report(next: ServerFigure, nowMillis: Long) {
            val atMillis = nowMillis - next.ageMillis
            if (atMillis <= seenAtMillis) return
            seenAtMillis = atMillis
            figure = next
            if (!differs(next) && nowMillis - numberedAtMillis < REPEAT_MILLIS) return
            numbered = next
            numberedAtMillis = nowMillis
            figureNumber = ++lastNumber
        }

        private fun differs(next: ServerFigure): Boolean {
            val before = numbered ?: return true
            val change = next.running + next.waiting - before.running - before.waiting
            val paceChange = (next.pacePercent ?: 0) - (before.pacePercent ?: 0)
            return abs(change) * LOAD_STEPS >= slots ||
                abs(paceChange) * PACE_STEPS >= (before.pacePercent ?: 1)
        }

        private fun differ(next: FleetEstimate, before: FleetEstimate) =
            abs(next.logSlowness - before.logSlowness) >= MIN_SLOWNESS_CHANGE ||
                abs(next.effectiveSlots - before.effectiveSlots) * LOAD_STEPS >= slots

        fun record(entry: ServerSamples, nowMillis: Long) {
            val samples = entry.samples
            curve.record(
                samples.logTimeSum / samples.count,
                samples.requestSum / samples.count,
                samples.count.toDouble(),
                nowMillis
            )
            if (nowMillis - estimatedAtMillis < ESTIMATE_INTERVAL_MILLIS) return
            // A new leader must not replace what instances know by less.
            if (curve.weight(nowMillis) < MIN_WEIGHT) return
            val next = FleetEstimate(curve.logSlowness(nowMillis), curve.effectiveSlots(nowMillis))
            val before = estimate
            val isRecent = nowMillis - estimatedAtMillis < ESTIMATE_REPEAT_MILLIS
            if (before != null && isRecent && !differ(next, before)) return
            estimate = next
            estimatedAtMillis = nowMillis
            estimateNumber = ++lastNumber
        }
    }

    private companion object {
        val EMPTY = ServerObservations()

        /** Older loads say nothing, as requests take one to two seconds. */
        const val MAX_AGE_MILLIS = 2_000L

        /** Members forget a load that is not repeated within about this time. */
        const val REPEAT_MILLIS = 750L

        /** A load that changes by less than an eighth of the slots is not worth its bytes. */
        const val LOAD_STEPS = 8

        /** A pace that changes by a fifth is sent. */
        const val PACE_STEPS = 5
        const val ESTIMATE_INTERVAL_MILLIS = 500L
        const val ESTIMATE_REPEAT_MILLIS = 5_000L
        const val MIN_WEIGHT = 10.0
        const val MIN_SLOWNESS_CHANGE = 0.05
    }
}
