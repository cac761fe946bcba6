/*
 * Logs and measures what this instance knows of the performance of servers: the number of requests
 * that each one runs at once in effect, and by which factor work takes longer there than usual.
 */
package mustarddale.instance.serving.state

import io.micrometer.core.instrument.Metrics
import io.micrometer.core.instrument.MultiGauge
import io.micrometer.core.instrument.Tags
import java.util.Locale
import kotlin.math.abs
import kotlin.math.ln
import mustarddale.instance.serving.DecisionLog
import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.BackendDirectory
import mustarddale.serving.backend.BackendLoad
import mustarddale.time.Clock
import mustarddale.time.MinInterval

/** Follows the estimates of the servers in [directory]; confined to one thread. */
public class ServerEstimateLog(
    private val directory: BackendDirectory,
    private val loadOf: (Backend) -> BackendLoad,
    private val clock: Clock
) {
    private val interval = MinInterval(INTERVAL_MILLIS)
    private val logged = HashMap<String, Estimate>()
    private val slotGauge by lazy { gaugeOf("mustarddale.server.slots.effective") }
    private val slownessGauge by lazy { gaugeOf("mustarddale.server.slowness") }

    private data class Estimate(val backend: Backend, val slots: Double, val slowness: Double)

    private fun gaugeOf(name: String) = MultiGauge.builder(name).register(Metrics.globalRegistry)

    /** The number of servers that run fewer requests at once than they have slots. */
    public val limitedCount: Int get() = logged.values.count { it.slots < it.backend.slots }

    /** Logs what has changed, a few servers at a time. */
    public fun tick() {
        val nowMillis = clock.monotonicMillis()
        if (interval.waitMillis(nowMillis) > 0) return
        interval.recordRun(nowMillis)
        var lines = 0
        directory.backends.forEach { backend ->
            if (lines < MAX_LINES && logIfChanged(backend, nowMillis)) lines++
        }
        val hasRemoved = logged.keys.retainAll(
            directory.backends.mapTo(HashSet(directory.backends.size)) { it.run }
        )
        if (lines > 0 || hasRemoved) updateGauges()
    }

    private fun logIfChanged(backend: Backend, nowMillis: Long): Boolean {
        val performance = loadOf(backend).performance
        val next = Estimate(
            backend,
            performance.effectiveSlots(nowMillis),
            performance.learnedSlowness(nowMillis)
        )
        val before = logged[backend.run] ?: Estimate(backend, backend.slots.toDouble(), 1.0)
        val haveSlotsChanged = abs(next.slots - before.slots) * SLOT_STEPS > backend.slots
        val hasSpeedChanged = abs(ln(next.slowness / before.slowness)) > MIN_SPEED_CHANGE
        if (!haveSlotsChanged && !hasSpeedChanged) return false
        logged[backend.run] = next
        DecisionLog.record(
            "server_estimate",
            "backend" to backend.id,
            "slots" to backend.slots,
            "effectiveSlots" to "%.1f".format(Locale.ROOT, next.slots),
            "slowness" to "%.2f".format(Locale.ROOT, next.slowness),
            "slotsBefore" to "%.1f".format(Locale.ROOT, before.slots),
            "slownessBefore" to "%.2f".format(Locale.ROOT, before.slowness),
            "reason" to reason(haveSlotsChanged, next, before),
            "source" to performance.source(nowMillis)
        )
        return true
    }

    private fun reason(haveSlotsChanged: Boolean, next: Estimate, before: Estimate): String = when {
        !haveSlotsChanged && next.slowness > before.slowness -> "slower than usual"
        !haveSlotsChanged -> "faster than before"
        next.slots < before.slots -> "work takes longer at higher load"
        else -> "no longer slower at higher load"
    }

    private fun updateGauges() {
        slotGauge.register(logged.values.map { rowOf(it, it.slots) }, true)
        slownessGauge.register(logged.values.map { rowOf(it, it.slowness) }, true)
    }

    private fun rowOf(estimate: Estimate, value: Double): MultiGauge.Row<*> =
        MultiGauge.Row.of(Tags.of("backend", estimate.backend.id), value)

    private companion object {
        const val INTERVAL_MILLIS = 1_000L
        const val MAX_LINES = 4

        /** A change of an eighth of the slots, or of a fifth of the speed. */
        const val SLOT_STEPS = 8
        const val MIN_SPEED_CHANGE = 0.2
    }
}
