/*
 * Decides how many engines a service should have in each failure domain. Engines are added at once,
 * as they take their time to start, and removed one at a time, only if the peak of the last minute
 * would still be served with room to spare. The rest of the domains can serve the peak if one of
 * them is lost. Engines that leave are replaced before they have left.
 */
package mustarddale.serving.scaling

import kotlin.math.ceil

/**
 * The limits of the number of engines in each failure domain.
 *
 * @property bootMillis the time from the order for an engine until it serves.
 */
public data class ScalingSpec(
    public val min: Int,
    public val max: Int,
    public val bootMillis: Long
) {
    /** Whether the limits make sense; if not, the service is not scaled. */
    public val isUsable: Boolean get() = min in 0..max && bootMillis >= 0
}

/**
 * The engines of a service in one failure domain.
 *
 * @property present the engines that are not about to stop.
 * @property draining the engines that are about to stop.
 * @property isInUse whether requests may go to the domain.
 */
public data class DomainEngines(
    public val present: Int,
    public val draining: Int = 0,
    public val isInUse: Boolean = true
)

/**
 * The demand for a service.
 *
 * @property peakSlots the most slots that were needed within the last minute.
 * @property knowsLastMinute whether the whole last minute is known.
 * @property slotsPerEngine the number of requests that an engine runs at the same time.
 */
public data class ServiceDemandPeak(
    public val peakSlots: Double,
    public val knowsLastMinute: Boolean,
    public val slotsPerEngine: Int
)

/** Plans the engines of one service; not thread-safe. */
public class EngineScaler {
    private val domains = HashMap<String, Domain>()

    /** The planned numbers by domain, without replacements, for a successor. */
    public val planned: Map<String, Int> get() = domains.mapValues { it.value.engines }

    /** Takes over what an earlier leader has [planned]. */
    public fun takeOver(planned: Map<String, Int>) {
        planned.forEach { (name, engines) -> domains[name] = Domain(engines) }
    }

    /** Returns the number of engines that each domain should have at [nowMillis]. */
    public fun plan(
        spec: ScalingSpec,
        demand: ServiceDemandPeak,
        listed: Map<String, DomainEngines>,
        nowMillis: Long
    ): Map<String, Int> {
        listed.forEach { (name, engines) ->
            domains.getOrPut(name) { Domain(engines.present + engines.draining) }
        }
        val lost = domains.keys.count { name ->
            listed[name]?.let { it.present == 0 || !it.isInUse } ?: true
        }
        val most = enginesFor(demand, MAX_UTILISATION, lost).coerceIn(spec.min, spec.max)
        val least = enginesFor(demand, MIN_UTILISATION, lost).coerceIn(spec.min, spec.max)
        val stepMillis = maxOf(spec.bootMillis, MIN_STEP_DOWN_MILLIS)
        domains.values.forEach { domain ->
            val mayStepDown =
                demand.knowsLastMinute && nowMillis >= domain.changedAtMillis + stepMillis
            when {
                domain.engines < most -> domain.change(most, nowMillis)
                domain.engines > spec.max -> domain.change(spec.max, nowMillis)
                domain.engines > least && mayStepDown -> domain.change(
                    domain.engines - 1,
                    nowMillis
                )
            }
        }
        return domains.mapValues { (name, domain) ->
            (domain.engines + (listed[name]?.draining ?: 0)).coerceIn(spec.min, spec.max)
        }
    }

    /** Returns how many engines a domain needs if one domain, or the [lost] ones, do not serve. */
    private fun enginesFor(demand: ServiceDemandPeak, utilisation: Double, lost: Int): Int {
        val slots = demand.slotsPerEngine.coerceAtLeast(1) * utilisation
        val engines = ceil(demand.peakSlots / slots - ROUNDING)
        val remaining = (domains.size - lost.coerceAtLeast(1)).coerceAtLeast(1)
        return ceil(engines / remaining).toInt()
    }

    private class Domain(var engines: Int) {
        var changedAtMillis = Long.MIN_VALUE / 2

        fun change(count: Int, nowMillis: Long) {
            engines = count
            changedAtMillis = nowMillis
        }
    }

    private companion object {
        /** Above it, engines are added: requests come unevenly, and queues make them late. */
        const val MAX_UTILISATION = 0.75

        /** Below it, engines are removed; between both, nothing changes. */
        const val MIN_UTILISATION = 0.6

        /** An engine that is removed too early costs more requests than it saves in this time. */
        const val MIN_STEP_DOWN_MILLIS = 10_000L

        /** Keeps rounding errors from adding an engine. */
        const val ROUNDING = 1e-9
    }
}
