/*
 * Measures the lag of the event loop, and refuses requests while it lasts. The measurement is a
 * task that waits for its turn in the loop, as requests do.
 */
package mustarddale.instance.serving.state

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Metrics
import kotlinx.coroutines.delay
import mustarddale.instance.serving.DecisionLog
import mustarddale.serving.overload.LateRefusals
import mustarddale.serving.overload.LatenessGauge
import mustarddale.time.Clock

/** The lateness of the event loop to which this is confined. */
public class LoopLateness(private val clock: Clock) {
    private val gauge = LatenessGauge()
    private val refusals = LateRefusals(gauge)
    private var refusedCount = 0
    private var lateSinceMillis = 0L

    /** The lag of the event loop that was measured last, in milliseconds. */
    public val lagMillis: Long get() = gauge.lagMillis

    /** Registers the lag and the part of the requests that is refused in [registry]. */
    public fun registerMetrics(registry: MeterRegistry) {
        registry.gauge("mustarddale.loop.lag.millis", gauge) { it.lagMillis.toDouble() }
        registry.gauge("mustarddale.lateness.level", gauge) { it.level }
    }

    /** Measures until it is cancelled; [isStarted] returns whether requests are admitted yet. */
    public suspend fun run(isStarted: () -> Boolean): Nothing {
        while (true) {
            val dueMillis = clock.monotonicMillis() + gauge.intervalMillis
            delay(gauge.intervalMillis)
            val nowMillis = clock.monotonicMillis()
            // A start keeps the loop busy while requests wait anyway.
            if (isStarted()) record((nowMillis - dueMillis).coerceAtLeast(0), nowMillis)
        }
    }

    /** Records that a task ran [lagMillis] late at [nowMillis]. */
    internal fun record(lagMillis: Long, nowMillis: Long) {
        val wasLate = gauge.isLate
        gauge.record(lagMillis, nowMillis)
        if (gauge.isLate == wasLate) return
        if (gauge.isLate) {
            refusedCount = 0
            lateSinceMillis = nowMillis
            DecisionLog.record("loop_late", "lagMillis" to lagMillis, "level" to gauge.level)
        } else {
            DecisionLog.record(
                "loop_in_time",
                "afterMillis" to nowMillis - lateSinceMillis,
                "refused" to refusedCount
            )
        }
    }

    /**
     * Returns in how many milliseconds a caller should return whose request is refused because the
     * loop is late, null if it is not refused.
     *
     * @param remainingMillis how long the caller stays.
     */
    public fun retryAfterMillis(
        requestId: String,
        account: String,
        priority: Int,
        remainingMillis: Long,
        nowMillis: Long
    ): Long? {
        val retryMillis =
            refusals.retryAfterMillis(requestId, account, priority, remainingMillis, nowMillis)
                ?: return null
        refusedCount++
        Metrics.counter("mustarddale.lateness.refused", "priority", "$priority").increment()
        return retryMillis
    }
}
