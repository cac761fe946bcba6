package mustarddale.dispatch

import mustarddale.routing.LoadReport
import mustarddale.routing.Warmth

/**
 * What this instance knows of one backend server.
 *
 * @property smoothedQueue requests running and waiting there, smoothed over the last reports.
 * @property smoothedInFlight this instance's own requests there, smoothed in the same way.
 * @property inFlight requests of this instance that are under way there.
 * @property lentPermits cold-start permits that this instance has lent to others.
 * @property borrowedPermits cold-start permits lent to this instance that are in use.
 * @property suspectUntilMillis until when it is avoided because a connection failed.
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
    /** How warm it is for sure at [nowMillis]; an old report says nothing. */
    public fun warmth(nowMillis: Long): Warmth {
        val known = report ?: return Warmth.UNKNOWN
        val isOld = nowMillis - reportedAtMillis > REPORT_VALID_MILLIS
        return if (isOld) Warmth.UNKNOWN else known.warmth
    }

    /**
     * The requests that are running or waiting there, as far as this instance can tell: its own,
     * which it knows without delay, and those of others, which reports show late.
     */
    public val expectedQueue: Double
        get() = inFlight + (smoothedQueue - smoothedInFlight).coerceAtLeast(0.0)

    /** How many requests it should have at the most, so that none waits long for its batch. */
    public val queueLimit: Int
        get() {
            val batchSlots = report?.batchSlots ?: return Int.MAX_VALUE
            return batchSlots + batchSlots / WAITING_PARTS
        }

    /** Whether a connection to it failed a moment ago. */
    public fun isSuspect(nowMillis: Long): Boolean = nowMillis < suspectUntilMillis

    /** Takes in [next] unless a newer report is known. */
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

    /** Forgets how warm it is, because it failed or said that it is cold. */
    public fun invalidateWarmth(nowMillis: Long): ServerView =
        copy(reportedAtMillis = nowMillis - REPORT_VALID_MILLIS - 1)

    /** Slow against the age of reports; answering an old report at once makes queues swing. */
    private fun smooth(before: Double, sample: Int): Double =
        if (report == null) sample.toDouble() else before + (sample - before) * SMOOTHING

    private fun isOutdated(next: LoadReport): Boolean =
        report != null && next.number <= report.number

    public companion object {
        private const val SMOOTHING = 0.05

        /** One request may wait for each of this many places in the batch. */
        private const val WAITING_PARTS = 4

        /** How long a load report is believed. */
        public const val REPORT_VALID_MILLIS: Long = 3_000
    }
}
