/*
 * The usual times of the servers of one service, against which each server is compared. Times are
 * kept by kind of work: to the first event by the length of the prompt, per output token, and of
 * whole responses that have no tokens. All servers count, so the values are near the median server.
 */
package mustarddale.serving.backend

import kotlin.math.exp
import kotlin.math.ln

/**
 * The size of a request as far as its caller states it; 0 for what is not stated.
 *
 * @property promptTokens the tokens that the server reads before its first event.
 * @property outputTokens the tokens that it generates.
 */
public data class RequestSize(public val promptTokens: Double, public val outputTokens: Double) {
    internal val promptClass: Int
        get() = if (promptTokens < 1) 0 else minOf(MAX_CLASS, 1 + Math.getExponent(promptTokens))

    public companion object {
        /** The prompts of one class differ by up to twice in length; the last is open-ended. */
        internal const val MAX_CLASS = 20

        private const val MAX_TOKENS = 10_000_000.0

        /**
         * Returns the size that a caller has stated. One that is no number would make all times of
         * the service none.
         */
        public fun of(promptTokens: Double, outputTokens: Double): RequestSize =
            RequestSize(bounded(promptTokens), bounded(outputTokens))

        private fun bounded(tokens: Double): Double =
            if (tokens.isNaN()) 0.0 else tokens.coerceIn(0.0, MAX_TOKENS)

        /** The size of a request that states none. */
        public val UNKNOWN: RequestSize = RequestSize(0.0, 0.0)
    }
}

/** The usual times of a service; not thread-safe. */
public class ServiceTimes {
    private val firstEvent = Array(RequestSize.MAX_CLASS + 1) { UsualTime() }
    private val perToken = UsualTime()
    private val whole = UsualTime()
    private val hold = UsualTime()

    /** The usual cost of a server of the service, see [BackendSelector]. */
    internal var usualCost: Double = 0.0
        private set

    /** Records the [cost] of a random server of the service. */
    internal fun recordCost(cost: Double) {
        usualCost += (cost - usualCost) * COST_SMOOTHING
    }

    /** Records the [millis] to the first event; returns the logarithm of how slow that is. */
    internal fun recordFirstEvent(size: RequestSize, millis: Double): Double? =
        firstEvent[size.promptClass].record(millis)

    /** Records the [millis] per output token; returns the logarithm of how slow that is. */
    internal fun recordPerToken(millis: Double): Double? = perToken.record(millis)

    /** Records the [millis] of a response without tokens; returns how slow that is, as above. */
    internal fun recordWhole(millis: Double): Double? = whole.record(millis)

    /** Records for how many [millis] a request has held a slot. */
    internal fun recordHold(millis: Double) {
        hold.record(millis)
    }

    /**
     * Returns how long a request of [size] with its first event after [millis] has waited beyond
     * twice the usual time, in units of the time for which a request holds a slot.
     */
    internal fun unusualWait(size: RequestSize, millis: Double): Double {
        val usualMillis = firstEvent[size.promptClass].millis ?: return 0.0
        val holdMillis = hold.millis ?: return 0.0
        return ((millis - 2 * usualMillis) / holdMillis).coerceIn(0.0, MAX_UNUSUAL_WAIT)
    }

    /**
     * Returns how much a request of [size] suffers at a server that takes twice the usual time, in
     * units of the time for which a request holds a slot: the time to the first event, and a part
     * of the time until the end.
     */
    internal fun sensitivity(size: RequestSize): Double {
        val holdMillis = hold.millis ?: return DEFAULT_SENSITIVITY
        val outputMillis = size.outputTokens * (perToken.millis ?: 0.0)
        val firstMillis =
            if (size.outputTokens > 0) firstEvent[size.promptClass].millis else whole.millis
        val millis = (firstMillis ?: 0.0) + outputMillis * END_SHARE
        return (millis / holdMillis).coerceIn(MIN_SENSITIVITY, MAX_SENSITIVITY)
    }

    /** A slowly moving centre of times, in which single outliers count little. */
    private class UsualTime {
        private var logMillis = 0.0
        private var count = 0

        /** The usual time, null with few samples. */
        var millis: Double? = null
            private set

        /** Returns the logarithm of [sampleMillis] by the usual time, null with few samples. */
        fun record(sampleMillis: Double): Double? {
            val sample = ln(sampleMillis.coerceIn(MIN_MILLIS, MAX_MILLIS))
            val deviation = sample - logMillis
            val known = count >= MIN_COUNT
            val step = if (known) deviation.coerceIn(-MAX_STEP, MAX_STEP) else deviation
            if (count < FULL_COUNT) count++
            logMillis += step / count
            if (count >= MIN_COUNT) millis = exp(logMillis)
            return if (known) deviation.coerceIn(-MAX_DEVIATION, MAX_DEVIATION) else null
        }
    }

    private companion object {
        /** The first event decides whether an answer is on time, the end hardly ever does. */
        const val END_SHARE = 0.25
        const val DEFAULT_SENSITIVITY = 0.25
        const val MIN_SENSITIVITY = 0.05
        const val MAX_SENSITIVITY = 1.0
        const val MIN_COUNT = 8

        /** The last 20 servers that were compared count most. */
        const val COST_SMOOTHING = 0.05
        const val MAX_UNUSUAL_WAIT = 3.0

        /** The weight of the newest sample is one in this number. */
        const val FULL_COUNT = 100

        /** Times of a server that is 2.5 times as slow for a moment move the centre less. */
        const val MAX_STEP = 0.5

        /** A caller that reads slowly or a stopped process may delay one sample without bound. */
        const val MAX_DEVIATION = 1.6
        const val MIN_MILLIS = 0.05
        const val MAX_MILLIS = 600_000.0
    }
}
