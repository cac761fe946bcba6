package mustarddale.dispatch

import mustarddale.routing.LoadReport
import mustarddale.routing.Warmth

/**
 * What this instance knows of one backend server.
 *
 * @property sentSinceReport requests that this instance sent since the last report.
 * @property finishedSinceReport requests of this instance that ended since the last report.
 * @property inFlight requests of this instance that are under way there.
 * @property lentPermits cold-start permits that this instance has lent to others.
 * @property borrowedPermits cold-start permits lent to this instance that are in use.
 * @property suspectUntilMillis until when it is avoided because a connection failed.
 */
public data class ServerView(
    public val report: LoadReport? = null,
    public val reportedAtMillis: Long = 0,
    public val sentSinceReport: Int = 0,
    public val finishedSinceReport: Int = 0,
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

    /** The requests that are running or waiting there, as far as this instance can tell. */
    public val expectedQueue: Int
        get() {
            val reported = report?.let { it.running + it.waiting } ?: 0
            return maxOf(reported + sentSinceReport - finishedSinceReport, inFlight)
        }

    /** Whether a connection to it failed a moment ago. */
    public fun isSuspect(nowMillis: Long): Boolean = nowMillis < suspectUntilMillis

    /** Takes in [next] unless a newer report is known. */
    public fun take(next: LoadReport, nowMillis: Long): ServerView {
        if (isOutdated(next)) return this
        val isWarm = next.warmth == Warmth.WARM
        return copy(
            report = next,
            reportedAtMillis = nowMillis,
            sentSinceReport = 0,
            finishedSinceReport = 0,
            lentPermits = if (isWarm) 0 else lentPermits
        )
    }

    /** Forgets how warm it is, because it failed or said that it is cold. */
    public fun distrust(nowMillis: Long): ServerView =
        copy(reportedAtMillis = nowMillis - REPORT_VALID_MILLIS - 1)

    private fun isOutdated(next: LoadReport): Boolean =
        report != null && next.number <= report.number

    public companion object {
        /** How long a load report is believed. */
        public const val REPORT_VALID_MILLIS: Long = 3_000
    }
}
