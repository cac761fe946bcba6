/*
 * What one instance knows of the performance of one run of a server: its speed and the number of
 * requests that it runs at once in effect, from the times of own requests and, if the leader passes
 * them on, from those of all instances. A stated pace is believed only for a moment and only by how
 * much it differs from what the same server usually states, so that a constant one has no effect.
 */
package mustarddale.serving.backend

import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max

/** What is known of the performance of a server by all instances together. */
public data class FleetEstimate(public val logSlowness: Double, public val effectiveSlots: Double)

/**
 * Samples of one class of the load of a server, for the leader.
 *
 * @property logTimeSum the sum of the logarithms of the times by the usual ones.
 * @property requestSum the sum of the numbers of requests that the server had.
 */
public data class PerformanceSamples(
    public val count: Int,
    public val logTimeSum: Double,
    public val requestSum: Double
)

/** The performance of one run of a server with [slots] slots; not thread-safe. */
public class ServerPerformance(private val slots: Int, internal val times: ServiceTimes) {
    private val curve = ConcurrencyCurve(slots)
    private var fleet: FleetEstimate? = null
    private var fleetAtMillis = 0L
    private var pace = 1.0
    private var paceAtMillis = 0L
    private var usualLogPace = 0.0
    private var paceCount = PRIOR_PACE_COUNT
    private val counts = IntArray(ConcurrencyCurve.CLASSES)
    private val logTimeSums = DoubleArray(ConcurrencyCurve.CLASSES)
    private val requestSums = DoubleArray(ConcurrencyCurve.CLASSES)
    private var hasUnreported = false
    private var hiddenWait = 0.0
    private var hiddenWaitAtMillis = 0L

    /** Records that the server stated at [atMillis] to take [percent] of the usual time. */
    internal fun recordPace(percent: Int, atMillis: Long) {
        val logPace = ln(percent / PERCENT)
        if (paceCount < MAX_PACE_COUNT) paceCount++
        usualLogPace += (logPace - usualLogPace) / paceCount
        pace = exp(logPace - usualLogPace).coerceIn(MIN_PACE, MAX_PACE)
        paceAtMillis = atMillis
    }

    /**
     * Records the times of a request that was sent while the server had [requestCount] requests.
     *
     * @param isStream whether the response is a stream, so that the first event precedes the rest.
     */
    internal fun recordServed(
        size: RequestSize,
        isStream: Boolean,
        requestCount: Double,
        sentMillis: Long,
        firstEventMillis: Long,
        endMillis: Long
    ) {
        times.recordHold((endMillis - sentMillis).toDouble())
        val firstMillis = (firstEventMillis - sentMillis).toDouble()
        // With more requests, the time to the first event may be that in the server's queue, as the
        // number of requests is not known exactly.
        val isQueueLikely = requestCount * QUEUE_MARGIN >= slots
        if (!isStream || size.outputTokens <= 0) {
            if (isQueueLikely) return
            times.recordWhole(firstMillis)?.let { record(it, requestCount, endMillis) }
            return
        }
        val firstEvent =
            if (isQueueLikely) null else times.recordFirstEvent(size, firstMillis)
        if (!isQueueLikely) recordHiddenWait(times.unusualWait(size, firstMillis), endMillis)
        val outputMillis = (endMillis - firstEventMillis).toDouble()
        val perToken = if (outputMillis < MIN_OUTPUT_MILLIS) {
            firstEvent
        } else {
            times.recordPerToken(outputMillis / size.outputTokens)
        }
        perToken?.let { record(it, requestCount, endMillis) }
    }

    private fun recordHiddenWait(wait: Double, nowMillis: Long) {
        val known = hiddenWait(nowMillis)
        hiddenWait = known + (wait - known) * HIDDEN_WAIT_SMOOTHING
        hiddenWaitAtMillis = nowMillis
    }

    /**
     * Returns how long requests have lately waited for their first events although the server
     * reported enough free slots, in units of the time for which a request holds a slot.
     */
    internal fun hiddenWait(nowMillis: Long): Double {
        if (hiddenWait == 0.0) return 0.0
        return hiddenWait * exp((hiddenWaitAtMillis - nowMillis) / HIDDEN_WAIT_MILLIS)
    }

    private fun record(logTime: Double, requestCount: Double, nowMillis: Long) {
        curve.record(logTime, requestCount, 1.0, nowMillis)
        val index = ConcurrencyCurve.classOf(requestCount, slots)
        counts[index]++
        logTimeSums[index] += logTime
        requestSums[index] += requestCount
        hasUnreported = true
    }

    /** Returns the samples since the last call by classes of the load, null if there are none. */
    public fun takeSamples(): List<PerformanceSamples>? {
        if (!hasUnreported) return null
        hasUnreported = false
        val samples = counts.indices.map {
            PerformanceSamples(counts[it], logTimeSums[it], requestSums[it])
        }
        counts.fill(0)
        logTimeSums.fill(0.0)
        requestSums.fill(0.0)
        return samples
    }

    /** Replaces what all instances together know of the server. */
    public fun updateFleet(estimate: FleetEstimate, nowMillis: Long) {
        fleet = estimate
        fleetAtMillis = nowMillis
    }

    /**
     * Returns by which factor work takes longer here than usual at [nowMillis]; exactly 1 if the
     * server is not known to differ.
     */
    public fun slowness(nowMillis: Long): Double {
        val known = learnedSlowness(nowMillis)
        val paceAgeMillis = nowMillis - paceAtMillis
        if (pace == 1.0 || paceAgeMillis >= PACE_MILLIS) return known
        val belief = 1 - max(0, paceAgeMillis) / PACE_MILLIS.toDouble()
        return known * (1 + (pace - 1) * belief)
    }

    /** Returns [slowness] without the pace that the server states. */
    public fun learnedSlowness(nowMillis: Long): Double {
        val logSlowness = logSlowness(nowMillis)
        // Twice the excess up to twice the bound, so that the result has no step.
        val size = minOf(abs(logSlowness), 2 * (abs(logSlowness) - INSIGNIFICANT))
        return if (size <= 0) 1.0 else exp(if (logSlowness > 0) size else -size)
    }

    /** Returns where the estimates come from, for logs. */
    public fun source(nowMillis: Long): String =
        if (freshFleet(nowMillis) != null) "fleet" else "own"

    /** Returns how many requests the server runs at once in effect, at most its slots. */
    public fun effectiveSlots(nowMillis: Long): Double {
        val own = curve.effectiveSlots(nowMillis)
        val known = freshFleet(nowMillis) ?: return own
        val isOwnKnown = curve.weight(nowMillis) >= MIN_OWN_WEIGHT
        val least = if (isOwnKnown) own / MAX_SLOT_DEVIATION else 1.0
        return known.effectiveSlots.coerceIn(least, max(least, slots.toDouble()))
    }

    private fun logSlowness(nowMillis: Long): Double {
        val own = curve.logSlowness(nowMillis)
        val known = freshFleet(nowMillis)?.logSlowness ?: return own
        if (curve.weight(nowMillis) < MIN_OWN_WEIGHT) return known
        // Wrong figures of others count no more than what this instance has seen allows.
        return known.coerceIn(own - MAX_FLEET_DEVIATION, own + MAX_FLEET_DEVIATION)
    }

    private fun freshFleet(nowMillis: Long): FleetEstimate? =
        fleet?.takeIf { nowMillis - fleetAtMillis < FLEET_MILLIS }

    private companion object {
        const val PERCENT = 100.0

        /** A machine's pace changes about every 600 ms. */
        const val PACE_MILLIS = 600L
        const val MIN_PACE = 0.5
        const val MAX_PACE = 3.0

        /** The usual pace begins at 100, with the weight of this number of reports. */
        const val PRIOR_PACE_COUNT = 4
        const val MAX_PACE_COUNT = 200

        /** A server with half of its slots in use hardly ever has a queue. */
        const val QUEUE_MARGIN = 2.0

        /** Shorter outputs arrive in one piece, or are measured by the clock's milliseconds. */
        const val MIN_OUTPUT_MILLIS = 20.0

        /** A server that reports less than it has is avoided after about three requests. */
        const val HIDDEN_WAIT_SMOOTHING = 0.3
        const val HIDDEN_WAIT_MILLIS = 5_000.0

        /** Equal servers differ by this much by chance (12 in 100), and count as equal. */
        const val INSIGNIFICANT = 0.12

        /** The leader repeats what it knows while it has news of a server. */
        const val FLEET_MILLIS = 15_000L
        const val MIN_OWN_WEIGHT = 8.0

        /** The logarithm of two. */
        const val MAX_FLEET_DEVIATION = 0.7
        const val MAX_SLOT_DEVIATION = 3.0
    }
}
