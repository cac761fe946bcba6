/*
 * The leader's usage reports of one term: merges what instances have counted, fixes the figures of
 * ended windows, and sends them once they are in a leadership record. Runs on the event loop.
 */
package mustarddale.instance.serving.leader

import io.micrometer.core.instrument.Metrics
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.settings.CloudDuty
import mustarddale.instance.serving.settings.CloudSettings
import mustarddale.serving.leadership.LeadershipTerm
import mustarddale.serving.usage.CallAnswer
import mustarddale.serving.usage.FixedWindow
import mustarddale.serving.usage.FleetClock
import mustarddale.serving.usage.UsageLedger
import mustarddale.serving.usage.UsageProgress
import mustarddale.serving.usage.UsageRecord
import mustarddale.time.Clock

/** Reports usage during the term [leadership] as the holder [instance], by its process [ownRun]. */
internal class UsageController(
    private val leadership: LeadershipTerm,
    private val settings: CloudSettings,
    private val client: CloudClient,
    private val calls: CloudCalls,
    private val instance: String,
    ownRun: String,
    private val clock: Clock
) {
    private val fleetClock = FleetClock()
    private val mergedReports = HashMap<String, Long>()
    private val startedAtMillis = clock.wallMillis()
    private val ledger = UsageLedger(
        settings.usageTimes,
        UsageRecord.afterTakeover(
            leadership.predecessor?.usage,
            leadership.mayLackRecords,
            startedAtMillis,
            settings.usageTimes
        ),
        ownRun
    )

    init {
        DecisionLog.record(
            "usage_taken_over",
            "term" to leadership.term,
            "before" to leadership.predecessor?.usage,
            "mayLackRecords" to leadership.mayLackRecords,
            "requiresFence" to settings.requiresFence
        )
    }

    /** The number of windows that have figures and are not settled. */
    val backlog: Int get() = ledger.backlog

    /** Merges the counts in an instance's report. */
    fun handleReport(report: LeaderMessage.Report) {
        val counts = report.usage ?: return
        fleetClock.report(report.instance, counts.wallMillis, clock.wallMillis())
        ledger.report(report.instance, report.run, counts, report.term == leadership.term)
        mergedReports[report.instance] = report.number
    }

    /** Returns what [member] needs to know. */
    fun progress(member: String) = UsageProgress(
        fleetClock.wallMillis(clock.wallMillis()),
        ledger.recordedSettledThrough,
        mergedReports[member]
    )

    /** Returns the figures for the next leadership record. */
    fun toRecord(): UsageRecord = ledger.toRecord()

    /** Processes that [record] is in the log. */
    fun handleRecorded(record: UsageRecord): Unit = ledger.recorded(record)

    /** Fixes the windows that are due and sends the oldest one that may be sent. */
    fun tick(instances: Set<String>, nowMillis: Long) {
        fleetClock.retain(instances)
        mergedReports.keys.retainAll(instances)
        fix(instances)
        if (!calls.mayCall(CloudDuty.USAGE, SUBJECT, nowMillis)) return
        val window = ledger.nextToSend() ?: return
        calls.start(
            CloudDuty.USAGE,
            SUBJECT,
            { client.reportUsage(window, instance, leadership.term) }
        ) { answer, sentMillis -> handleAnswer(window, answer, sentMillis) }
    }

    private fun fix(instances: Set<String>) {
        val result = ledger.fix(instances, fleetClock.wallMillis(clock.wallMillis()))
        if (result.abandoned > 0) {
            DecisionLog.record(
                "usage_abandoned",
                "windows" to result.abandoned,
                "term" to leadership.term
            )
        }
        result.windows.filter { it.missing > instances.size * settings.usageTolerance }.forEach {
            DecisionLog.record(
                "usage_incomplete",
                "window" to it.window,
                "missing" to it.missing,
                "instances" to instances.size,
                "term" to leadership.term
            )
        }
    }

    private fun handleAnswer(window: FixedWindow, answer: CallAnswer, sentMillis: Long) {
        if (answer == CallAnswer.DONE || answer == CallAnswer.REJECTED) ledger.settle(window.window)
        val endMillis = settings.usageTimes.endMillis(window.window)
        val lateMillis = fleetClock.wallMillis(clock.wallMillis()) - endMillis
        if (answer == CallAnswer.DONE && lateMillis > settings.usageTimes.lateMillis) {
            Metrics.counter("mustarddale.usage.late").increment()
        }
        DecisionLog.record(
            "usage_reported",
            "window" to window.window,
            "counts" to window.counts,
            "sources" to window.sources,
            "missing" to window.missing,
            "answer" to answer,
            "term" to leadership.term,
            "holderSinceMillis" to startedAtMillis,
            "afterEndMillis" to lateMillis,
            "tookMillis" to clock.monotonicMillis() - sentMillis,
            "backlog" to ledger.backlog
        )
    }

    private companion object {
        const val SUBJECT = "usage"
    }
}
