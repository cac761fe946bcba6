/*
 * The leader's duties towards the platform in one term: it reports usage and orders engines.
 * Runs on the event loop.
 */
package mustarddale.instance.serving.leader

import mustarddale.instance.serving.settings.CloudDuty
import mustarddale.instance.serving.settings.CloudSettings
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.leadership.LeaderRecord
import mustarddale.serving.leadership.LeadershipTerm
import mustarddale.serving.usage.UsageProgress
import mustarddale.time.Clock

/** The duties in [settings], done through [calls] and [client]. */
internal class CloudDuties(
    leadership: LeadershipTerm,
    state: ServingState,
    settings: CloudSettings,
    client: CloudClient,
    private val calls: CloudCalls,
    instance: String,
    ownRun: String,
    clock: Clock
) {
    private val usage = if (settings.has(CloudDuty.USAGE)) {
        UsageController(leadership, settings, client, calls, instance, ownRun, clock)
    } else {
        null
    }

    private val scaling = if (settings.has(CloudDuty.AUTOSCALE)) {
        ScalingController(leadership, state, client, calls, instance, clock)
    } else {
        null
    }

    /** Processes an instance's report. */
    fun handleReport(report: LeaderMessage.Report, nowMillis: Long) {
        usage?.handleReport(report)
        scaling?.handleReport(report, nowMillis)
    }

    /** The number of windows whose usage is still to be reported. */
    val usageBacklog: Int get() = usage?.backlog ?: 0

    /** Returns what [member] needs to know of usage reports. */
    fun usageProgress(member: String): UsageProgress? = usage?.progress(member)

    /** Returns [record] with what a successor needs. */
    fun fillIn(record: LeaderRecord): LeaderRecord = record.copy(
        usage = usage?.toRecord(),
        lastCall = calls.lastCall(),
        desiredEngines = scaling?.planned().orEmpty()
    )

    /** Processes that [record] is in the log. */
    fun handleRecorded(record: LeaderRecord) {
        record.usage?.let { usage?.handleRecorded(it) }
    }

    /** Sends the calls that are due; [instances] may have something to report. */
    fun tick(instances: Set<String>, nowMillis: Long) {
        usage?.tick(instances, nowMillis)
        scaling?.tick(nowMillis)
    }
}
