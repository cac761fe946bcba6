package mustarddale.instance.serving.state

import io.micrometer.core.instrument.Metrics
import mustarddale.serving.usage.UsageCounter
import mustarddale.serving.usage.UsageCounts
import mustarddale.serving.usage.UsageProgress
import mustarddale.serving.usage.UsageTimes
import mustarddale.time.Clock

/** Counts the requests that backend servers began for this instance; confined to the event loop. */
public class UsageRecorder(times: UsageTimes, private val clock: Clock) {
    private val counter = UsageCounter(times)

    /** Counts a request of [account] that a server has begun. */
    public fun record(account: String) {
        val droppedBefore = counter.droppedCount
        counter.record(account, clock.wallMillis())
        val dropped = counter.droppedCount - droppedBefore
        if (dropped > 0) Metrics.counter("mustarddale.usage.dropped").increment(dropped.toDouble())
    }

    /** Returns the counts for the report [number] to the leader. */
    public fun report(number: Long): UsageCounts = counter.report(number, clock.wallMillis())

    /** Applies the leader's [progress]. */
    public fun confirm(progress: UsageProgress): Unit =
        counter.confirm(progress, clock.wallMillis())

    /** Reports everything again. */
    public fun forgetReports(): Unit = counter.forgetReports()
}
