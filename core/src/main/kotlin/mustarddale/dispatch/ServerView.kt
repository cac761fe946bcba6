package mustarddale.dispatch

import mustarddale.routing.LoadReport
import mustarddale.routing.Warmth

/**
 * This instance's view of one backend server.
 *
 * @property report the newest load report, null before the first one.
 * @property reportedAtMillis when that report was received.
 * @property smoothedQueue running and waiting requests by the load reports, exponentially smoothed.
 * @property smoothedInFlight requests of this instance at the times of the reports, smoothed alike.
 * @property inFlight requests of this instance that are in flight now.
 * @property lentPermits cold-start permits that this instance has lent to others.
 * @property borrowedPermits cold-start permits lent to this instance that are in use.
 * @property suspectUntilMillis the server is avoided until then because a connection failed.
 */
public data class ServerView(
    public val report: LoadReport? = null,
    public val reportedAtMillis: Long = 0,
    public val smoothedQueue: Double = 0.0,
    public val smoothedInFlight: Double = 0.0,
    public val inFlight: Int = 0,
    public val lentPermits: Int = 0,
    public val borrowedPermits: Int = 0,
    public val suspectUntilMillis: Long = Long.MIN_VALUE
) {
    /** Returns the reported warmth, [Warmth.UNKNOWN] without a recent report at [nowMillis]. */
    public fun warmth(nowMillis: Long): Warmth {
        val latest = report ?: return Warmth.UNKNOWN
        val isStale = nowMillis - reportedAtMillis > REPORT_VALID_MILLIS
        return if (isStale) Warmth.UNKNOWN else latest.warmth
    }

    /**
     * The estimated number of running and waiting requests: the exact number from this instance
     * plus an estimate for other instances, which load reports show with a delay.
     */
    public val expectedQueue: Double
        get() = inFlight + (smoothedQueue - smoothedInFlight).coerceAtLeast(0.0)

    /** The most requests to send, so that none waits long for a place in the batch. */
    public val queueLimit: Int
        get() {
            val batchSlots = report?.batchSlots ?: return Int.MAX_VALUE
            return batchSlots + batchSlots / SLOTS_PER_WAITING_REQUEST
        }

    /** Whether the server is avoided at [nowMillis] because a connection failed. */
    public fun isSuspect(nowMillis: Long): Boolean = nowMillis < suspectUntilMillis

    /** Applies the load report [next] if it is newer than the last one. */
    public fun applyReport(next: LoadReport, nowMillis: Long): ServerView {
        if (isOutdated(next)) return this
        val isWarm = next.warmth == Warmth.WARM
        return copy(
            report = next,
            reportedAtMillis = nowMillis,
            smoothedQueue = smooth(smoothedQueue, next.running + next.waiting),
            smoothedInFlight = smooth(smoothedInFlight, inFlight),
            lentPermits = if (isWarm) 0 else lentPermits
        )
    }

    /** Makes the warmth unknown until the next report. */
    public fun invalidateWarmth(nowMillis: Long): ServerView =
        copy(reportedAtMillis = nowMillis - REPORT_VALID_MILLIS - 1)

    /** Smooths over many reports; reacting at once to delayed reports makes queues oscillate. */
    private fun smooth(previous: Double, sample: Int): Double =
        if (report == null) sample.toDouble() else previous + (sample - previous) * SMOOTHING_FACTOR

    private fun isOutdated(next: LoadReport): Boolean =
        report != null && next.number <= report.number

    public companion object {
        private const val SMOOTHING_FACTOR = 0.05

        /** One request may wait for each of this many batch slots. */
        private const val SLOTS_PER_WAITING_REQUEST = 4

        /** The age in milliseconds up to which a load report counts as current. */
        public const val REPORT_VALID_MILLIS: Long = 3_000
    }
}
