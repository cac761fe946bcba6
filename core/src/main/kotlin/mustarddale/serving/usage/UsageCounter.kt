/*
 * Counts at one instance the requests that backend servers began, by window and client account.
 * Counts are cumulative, so a report that is lost or repeated changes nothing at the leader. A
 * count is kept until the leader has settled its window.
 */
package mustarddale.serving.usage

import java.util.TreeMap
import kotlin.math.abs

/** The counts of one process; not thread-safe. */
public class UsageCounter(private val times: UsageTimes) {
    private val windows = TreeMap<Long, OpenWindow>()
    private var offsetMillis = 0L
    private var settledThrough = Long.MIN_VALUE

    /** The number of requests that were not counted, because there was no room for them. */
    public var droppedCount: Long = 0
        private set

    /** Counts a request of [account] that a server began at [wallMillis] of the local clock. */
    public fun record(account: String, wallMillis: Long) {
        val window = maxOf(times.windowAt(wallMillis + offsetMillis), settledThrough + 1)
        val open = windows.getOrPut(window) { OpenWindow() }
        if (account !in open.counts && open.counts.size >= MAX_ACCOUNTS) {
            droppedCount++
            return
        }
        open.counts.merge(account, 1L, Long::plus)
        open.reportedIn = null
        // Only a leader that settles nothing for this long makes windows drop out.
        while (windows.size > MAX_OPEN_WINDOWS) {
            droppedCount += windows.pollFirstEntry().value.counts.values.sum()
        }
    }

    /** Returns what the report [number] says at [wallMillis] of the local clock. */
    public fun report(number: Long, wallMillis: Long): UsageCounts {
        val current = times.windowAt(wallMillis + offsetMillis)
        val unconfirmed = windows.filter { (window, open) ->
            !open.isConfirmed && (window < current || open.mayReportAt(wallMillis))
        }
        unconfirmed.values.forEach {
            if (it.reportedIn == null) it.reportedIn = number
            it.reportedAtMillis = wallMillis
        }
        return UsageCounts(
            wallMillis,
            wallMillis + offsetMillis,
            unconfirmed.map { (window, open) -> WindowCounts(window, open.counts.toMap()) }
        )
    }

    /** Processes the leader's [progress], received at [wallMillis] of the local clock. */
    public fun confirm(progress: UsageProgress, wallMillis: Long) {
        val merged = progress.mergedReport ?: Long.MIN_VALUE
        windows.values.forEach { open -> open.reportedIn?.let { open.isConfirmed = it <= merged } }
        settledThrough = maxOf(settledThrough, progress.settledThrough)
        windows.headMap(settledThrough, true).clear()
        val leaderOffsetMillis = progress.wallMillis - wallMillis
        if (abs(leaderOffsetMillis - offsetMillis) > MAX_CLOCK_ERROR_MILLIS) {
            offsetMillis = leaderOffsetMillis
        }
    }

    /** Reports all windows again, because there is a new leader or connection. */
    public fun forgetReports() {
        windows.values.forEach {
            it.reportedIn = null
            it.reportedAtMillis = null
        }
    }

    private class OpenWindow {
        val counts = HashMap<String, Long>()

        /** The first report with the newest counts; null if there has been none. */
        var reportedIn: Long? = null
            set(value) {
                field = value
                isConfirmed = false
            }
        var isConfirmed = false
        var reportedAtMillis: Long? = null

        /** Whether to report this window before it ends; a clock that was set back is ignored. */
        fun mayReportAt(wallMillis: Long): Boolean =
            reportedAtMillis?.let { abs(wallMillis - it) >= REPORT_INTERVAL_MILLIS } ?: true
    }

    internal companion object {
        /**
         * Instances report four times per second, mostly over slow links; a process that stops
         * reports for a second after its last request.
         */
        const val REPORT_INTERVAL_MILLIS = 500L

        /** Windows last a few seconds, so these are several minutes. */
        const val MAX_OPEN_WINDOWS = 64

        /** Above the number of accounts of any configuration so far. */
        const val MAX_ACCOUNTS = 4_096

        /** Above the time that a message takes to an instance with little processor time. */
        const val MAX_CLOCK_ERROR_MILLIS = 500L
    }
}
