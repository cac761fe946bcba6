/*
 * The leader's figures of usage during one term. A window's figures are fixed once, after its end,
 * when all instances have reported that they have counted past it, or a part of the allowed
 * lateness has passed. They are sent only after a leadership record with them is known to be in
 * the log, oldest window first. A successor starts from the newest record before its own, which
 * therefore holds every figure that can have been sent and is not settled; it sends those unchanged
 * and fixes only later windows. If the log has lost records, no window is fixed that a leader of
 * the lost records can have fixed.
 */
package mustarddale.serving.usage

import java.util.TreeMap

/**
 * The figures of one term; not thread-safe.
 *
 * @param takenOver what is known of earlier leaders' figures.
 * @param ownRun the process that leads.
 */
public class UsageLedger(private val times: UsageTimes, takenOver: UsageRecord, ownRun: String) {
    /** The counts of each window, by process. */
    private val counts = TreeMap<Long, HashMap<String, Map<String, Long>>>()
    private val countedUntilMillis = HashMap<String, Long>()

    /** Windows with figures that are not settled; true if they are in a record of the log. */
    private val fixed = TreeMap<Long, Pair<FixedWindow, Boolean>>()
    private var nextToFix = takenOver.openFrom
    private val leaderRuns = takenOver.leaderCounts.keys + ownRun

    /** The last window that is settled according to a record in the log. */
    public var recordedSettledThrough: Long = takenOver.settledThrough
        private set

    init {
        takenOver.windows.forEach { fixed[it.window] = it to true }
        takenOver.leaderCounts.forEach { (run, windows) -> merge(run, windows) }
    }

    private val settledThrough: Long get() = (fixed.keys.firstOrNull() ?: nextToFix) - 1

    /** The number of windows that have figures and are not settled. */
    public val backlog: Int get() = fixed.size

    /**
     * Merges what the process [run] of [instance] has counted, in a report that leaves out nothing
     * but what this term has merged before if [isOfThisTerm].
     */
    public fun report(instance: String, run: String, report: UsageCounts, isOfThisTerm: Boolean) {
        if (isOfThisTerm) countedUntilMillis[instance] = report.countedUntilMillis
        merge(run, report.windows)
    }

    private fun merge(run: String, windows: List<WindowCounts>) {
        windows.filter { it.window >= nextToFix }.forEach { window ->
            val byRun = counts.getOrPut(window.window) { HashMap() }
            byRun.merge(run, window.counts, ::mergeLarger)
        }
        while (counts.size > MAX_WINDOWS) counts.pollFirstEntry()
    }

    private fun mergeLarger(known: Map<String, Long>, new: Map<String, Long>): Map<String, Long> =
        (known.keys + new.keys).associateWith { maxOf(known[it] ?: 0, new[it] ?: 0) }

    /**
     * Fixes the windows that are due at [nowMillis] of the fleet's clock, when [expected] are the
     * instances that may have counted requests.
     */
    public fun fix(expected: Set<String>, nowMillis: Long): FixResult {
        countedUntilMillis.keys.retainAll(expected)
        val oldest = times.windowAt(nowMillis) - MAX_WINDOWS
        val abandoned = maxOf(0, oldest - nextToFix)
        if (abandoned > 0) nextToFix = oldest
        val new = ArrayList<FixedWindow>()
        while (hasRoom() && isDue(expected, nowMillis)) new += fixNext(missing(expected))
        counts.headMap(nextToFix).clear()
        return FixResult(new, abandoned)
    }

    /** Whether the next window has ended and need not wait for more reports. */
    private fun isDue(expected: Set<String>, nowMillis: Long): Boolean {
        val endMillis = times.endMillis(nextToFix)
        val waitMillis = times.lateMillis / WAIT_DIVISOR
        return nowMillis >= endMillis + waitMillis ||
            nowMillis >= endMillis && missing(expected) == 0
    }

    /** Returns how many of [expected] have not reported the end of the next window. */
    private fun missing(expected: Set<String>): Int {
        val endMillis = times.endMillis(nextToFix)
        return expected.count { (countedUntilMillis[it] ?: 0) < endMillis }
    }

    /** Whether the next record has room for the figures of another window. */
    private fun hasRoom(): Boolean = fixed.isEmpty() ||
        fixed.size < MAX_FIXED_WINDOWS &&
        fixed.values.sumOf { it.first.counts.size } < MAX_FIXED_COUNTS

    private fun fixNext(missing: Int): FixedWindow {
        val byRun = counts[nextToFix].orEmpty()
        val totals = TreeMap<String, Long>()
        byRun.values.forEach { run ->
            run.forEach { (name, n) -> totals.merge(name, n, Long::plus) }
        }
        val window = FixedWindow(nextToFix, totals, byRun.size, missing)
        fixed[nextToFix] = window to false
        nextToFix++
        return window
    }

    /** Returns what the next leadership record has to contain. */
    public fun toRecord(): UsageRecord {
        val figures = fixed.values.map { it.first }
        val leaderCounts = leaderRuns.associateWith { run ->
            counts.mapNotNull { (window, byRun) -> byRun[run]?.let { WindowCounts(window, it) } }
        }
        return UsageRecord(
            settledThrough,
            nextToFix,
            figures,
            leaderCounts.filterValues { it.isNotEmpty() }
        )
    }

    /** Processes that [record] is in the log. */
    public fun recorded(record: UsageRecord) {
        recordedSettledThrough = maxOf(recordedSettledThrough, record.settledThrough)
        record.windows.forEach { if (fixed[it.window]?.first == it) fixed[it.window] = it to true }
    }

    /** Returns the oldest window if it may be sent now, null if there is none. */
    public fun nextToSend(): FixedWindow? =
        fixed.firstEntry()?.value?.let { (window, isRecorded) -> window.takeIf { isRecorded } }

    /** Settles [window], which the platform has taken or will never take. */
    public fun settle(window: Long) {
        fixed.remove(window)
    }

    private companion object {
        /** Windows last a few seconds, so these are several minutes of a platform's outage. */
        const val MAX_WINDOWS = 64

        /** Bounds the leadership record, which is written twice a second. */
        const val MAX_FIXED_WINDOWS = 16
        const val MAX_FIXED_COUNTS = 1_024

        /** The rest of the time is for the record, the calls and their repetition. */
        const val WAIT_DIVISOR = 2
    }
}

/** The [windows] whose figures are new, and the number of windows that got no figures. */
public data class FixResult(public val windows: List<FixedWindow>, public val abandoned: Long)
