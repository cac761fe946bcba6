/*
 * How the time that a server takes for a unit of work depends on the number of requests that it
 * runs. Times are relative to the usual ones of the service and kept by classes of the load. The
 * least loaded classes give the server's speed. A class in which work takes longer than the
 * server's own best shows how many requests it runs at once in effect: by Little's law, requests
 * times the best time by the measured one. That number is the same for each load above it, so it
 * does not depend on what instances do with it, and instances that see the same late reports don't
 * oscillate as they would by raising and lowering a limit step by step.
 */
package mustarddale.serving.backend

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max
import kotlin.math.min

/** The times of one run of a server with [slots] slots; not thread-safe. */
public class ConcurrencyCurve(private val slots: Int) {
    private val weights = DoubleArray(CLASSES)
    private val logTimes = DoubleArray(CLASSES)
    private val requests = DoubleArray(CLASSES)
    private val updatedAtMillis = LongArray(CLASSES)
    private val congestedAtMillis = LongArray(CLASSES)
    private var computedAtMillis = Long.MIN_VALUE
    private var logSlowness = 0.0
    private var learnedSlots = slots.toDouble()

    /** The weight of all samples at [nowMillis]. */
    public fun weight(nowMillis: Long): Double = (0 until CLASSES).sumOf { weightOf(it, nowMillis) }

    /**
     * Records that a unit of work took exp([logTime]) times as long as usual, while the server had
     * [requestCount] requests of all instances.
     *
     * @param weight 1 for a usual sample; the number of samples if [logTime] is their mean.
     */
    public fun record(logTime: Double, requestCount: Double, weight: Double, nowMillis: Long) {
        val index = classOf(requestCount, slots)
        val best = bestClass(nowMillis)
        if (best >= 0 && logTime - logTimes[best] > MIN_EXCESS) congestedAtMillis[index] = nowMillis
        val known = weightOf(index, nowMillis)
        val total = min(known, MAX_WEIGHT) + weight
        logTimes[index] += (logTime - logTimes[index]) * weight / total
        requests[index] += (requestCount - requests[index]) * weight / total
        weights[index] = total
        updatedAtMillis[index] = nowMillis
        computedAtMillis = Long.MIN_VALUE
    }

    /** Returns the logarithm of the time that a unit of work takes here by the usual time. */
    public fun logSlowness(nowMillis: Long): Double {
        compute(nowMillis)
        return logSlowness
    }

    /** Returns how many requests the server runs at once in effect, at most its slots. */
    public fun effectiveSlots(nowMillis: Long): Double {
        compute(nowMillis)
        return learnedSlots
    }

    private fun weightOf(index: Int, nowMillis: Long): Double {
        val weight = weights[index]
        if (weight == 0.0) return 0.0
        return weight * exp((updatedAtMillis[index] - nowMillis) / MEMORY_MILLIS)
    }

    private fun compute(nowMillis: Long) {
        if (computedAtMillis != Long.MIN_VALUE &&
            nowMillis - computedAtMillis < COMPUTE_INTERVAL_MILLIS
        ) {
            return
        }
        computedAtMillis = nowMillis
        val best = bestClass(nowMillis)
        var calmWeight = 0.0
        var calmSum = 0.0
        var busyWeight = 0.0
        var busySum = 0.0
        var calmRequests = 0.0
        var busySinceMillis = Long.MIN_VALUE
        for (index in 0 until CLASSES) {
            val weight = weightOf(index, nowMillis)
            val excess = if (best < 0) 0.0 else logTimes[index] - logTimes[best]
            val isKnown = weight >= MIN_CLASS_WEIGHT &&
                nowMillis - congestedAtMillis[index] < CONGESTION_MILLIS
            if (isKnown && index > best && excess > MIN_EXCESS) {
                busyWeight += weight
                busySum += weight * min(requests[index], slots.toDouble()) * exp(-excess)
                busySinceMillis = max(busySinceMillis, congestedAtMillis[index])
            } else {
                calmWeight += weight
                calmSum += weight * logTimes[index]
                if (weight >= MIN_CLASS_WEIGHT) calmRequests = max(calmRequests, requests[index])
            }
        }
        logSlowness = if (calmWeight == 0.0) 0.0 else calmSum / (calmWeight + PRIOR_WEIGHT)
        learnedSlots = if (busyWeight == 0.0) {
            slots.toDouble()
        } else {
            val ageSeconds = (nowMillis - busySinceMillis) / MILLIS_PER_SECOND
            val raised = busySum / busyWeight * (1 + PROBE_PER_SECOND * ageSeconds)
            max(raised, calmRequests).coerceIn(min(MIN_SLOTS, slots.toDouble()), slots.toDouble())
        }
    }

    private fun bestClass(nowMillis: Long): Int {
        var best = -1
        for (index in 0 until CLASSES) {
            if (weightOf(index, nowMillis) < MIN_CLASS_WEIGHT) continue
            if (best < 0 || logTimes[index] < logTimes[best]) best = index
        }
        return best
    }

    public companion object {
        /** Quarters of the slots, and all loads above them. */
        public const val CLASSES: Int = 5
        private const val CLASSES_PER_SLOTS = 4

        /** Returns the class of a load of [requestCount] requests on [slots] slots. */
        public fun classOf(requestCount: Double, slots: Int): Int =
            (requestCount * CLASSES_PER_SLOTS / max(1, slots)).toInt().coerceIn(0, CLASSES - 1)

        /** Samples count for a third after this time. */
        private const val MEMORY_MILLIS = 20_000.0

        /** Bounds for how long old samples outweigh new ones. */
        private const val MAX_WEIGHT = 24.0

        /** A server's speed is believed by half with this number of samples. */
        private const val PRIOR_WEIGHT = 4.0

        /** Below it, a moment in which the server was slow may look like an effect of its load. */
        private const val MIN_CLASS_WEIGHT = 6.0

        /** Work takes at least 1.2 times as long as at the best load. */
        private val MIN_EXCESS = ln(1.2)

        /** Lets a server that has recovered show it, by one more request every two seconds. */
        private const val PROBE_PER_SECOND = 0.05

        /** Then a limit ends that no sample has confirmed. */
        private const val CONGESTION_MILLIS = 15_000L
        private const val MIN_SLOTS = 1.0
        private const val COMPUTE_INTERVAL_MILLIS = 250L
        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
