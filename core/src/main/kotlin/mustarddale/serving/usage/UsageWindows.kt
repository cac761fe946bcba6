/*
 * The messages about usage: how many requests of each client account backend servers began in each
 * window. Window k begins k times the window's length after 1970.
 */
package mustarddale.serving.usage

import kotlinx.serialization.Serializable

/**
 * The time rules of usage reports.
 *
 * @property windowMillis the length of a window.
 * @property lateMillis how long after the end of a window its report is due.
 */
public data class UsageTimes(public val windowMillis: Long, public val lateMillis: Long) {
    /** Returns the window that contains [wallMillis]. */
    public fun windowAt(wallMillis: Long): Long = Math.floorDiv(wallMillis, windowMillis)

    /** Returns the end of [window], in milliseconds since 1970. */
    public fun endMillis(window: Long): Long = (window + 1) * windowMillis
}

/** The requests counted by one process in [window], by account, since the process started. */
@Serializable
public data class WindowCounts(public val window: Long, public val counts: Map<String, Long>)

/**
 * What a process has counted.
 *
 * @property wallMillis its wall clock, as it is.
 * @property countedUntilMillis its corrected clock: what began before is in the counts.
 * @property windows the windows whose counts the leader may not know.
 */
@Serializable
public data class UsageCounts(
    public val wallMillis: Long,
    public val countedUntilMillis: Long,
    public val windows: List<WindowCounts>
)

/**
 * What instances need to know of the leader's usage reports.
 *
 * @property wallMillis the clock by which windows begin and end.
 * @property settledThrough the last window whose counts are no longer needed.
 * @property mergedReport the newest report of the instance whose counts the leader has, null if it
 *   has none.
 */
@Serializable
public data class UsageProgress(
    public val wallMillis: Long,
    public val settledThrough: Long,
    public val mergedReport: Long? = null
)

/**
 * The figures of a window, which never change once they are in a leadership record.
 *
 * @property sources the number of processes that they contain.
 * @property missing the number of instances that had not reported the end of the window.
 */
@Serializable
public data class FixedWindow(
    public val window: Long,
    public val counts: Map<String, Long>,
    public val sources: Int = 0,
    public val missing: Int = 0
)

/**
 * The part of a leadership record that makes a successor send the same figures.
 *
 * @property settledThrough no window up to this one is sent any more.
 * @property openFrom no leader of this record or an earlier one has fixed this window or a later
 *   one; earlier ones that are not in [windows] are never fixed.
 * @property windows the figures of windows that may have been sent.
 * @property leaderCounts what the processes of the last leaders have counted in later windows,
 *   which only they know; a leader that is killed can't report it to its successor.
 */
@Serializable
public data class UsageRecord(
    public val settledThrough: Long,
    public val openFrom: Long = settledThrough + 1,
    public val windows: List<FixedWindow> = emptyList(),
    public val leaderCounts: Map<String, List<WindowCounts>> = emptyMap()
) {
    public companion object {
        /** Two clocks that are wrong by up to 6 s in opposite directions. */
        private const val MAX_CLOCK_DIFFERENCE_MILLIS = 12_000L

        /**
         * Returns what a leader knows that takes over at [wallMillis] after the record [newest],
         * which is not that of the last leader if it [mayLackRecords].
         */
        public fun afterTakeover(
            newest: UsageRecord?,
            mayLackRecords: Boolean,
            wallMillis: Long,
            times: UsageTimes
        ): UsageRecord {
            val current = times.windowAt(wallMillis)
            if (!mayLackRecords) return newest ?: UsageRecord(settledThrough = current - 1)
            // The last leader has fixed no window that had not begun by its clock.
            val safe = times.windowAt(wallMillis + MAX_CLOCK_DIFFERENCE_MILLIS) + 1
            return newest?.copy(openFrom = maxOf(newest.openFrom, safe)) ?: UsageRecord(safe - 1)
        }
    }
}
