/*
 * Decides which engine holds which model. It answers a load in which a few models, which change
 * every few seconds, get most requests and many get few: busy models get copies in proportion to
 * their tokens, each model that is asked for gets at least one, and rare models share places by
 * turns when memory is short. A copy is given up only for one that is worth clearly more.
 */
package mustarddale.serving.residency

import kotlin.math.roundToInt
import mustarddale.serving.backend.WantedModel
import mustarddale.serving.config.EngineSpec

/**
 * Plans the models of one service's engines.
 *
 * @param knowsSinceMillis since when demand is counted; what was asked for before is not known, so
 *   every model counts as wanted for a while.
 */
public class ResidencyPlanner(private val spec: EngineSpec, private val knowsSinceMillis: Long) {
    /**
     * Returns the next orders, at most one for an engine.
     *
     * @param engines the engines that stay; leaving ones are left out.
     * @param mayLoadFromStore whether the weight store bears one more load.
     */
    public fun plan(
        engines: List<EngineInventory>,
        demand: ModelDemand,
        mayLoadFromStore: Boolean,
        nowMillis: Long
    ): List<EngineOrder> {
        val plan = Plan(engines, demand, mayLoadFromStore, nowMillis)
        plan.loadReserved()
        plan.needs().forEach { plan.place(it) }
        return plan.orders.values.toList()
    }

    private data class Need(val model: String, val value: Double, val mayEvict: Boolean)

    private inner class Plan(
        val engines: List<EngineInventory>,
        val demand: ModelDemand,
        var mayLoadFromStore: Boolean,
        val nowMillis: Long
    ) {
        val orders = LinkedHashMap<String, EngineOrder>()
        private val storeLoadsOpen = engines.count { engine ->
            engine.loadingModel?.let { loadMillis(engine, it) == storeMillis(it) } ?: false
        }

        fun loadReserved() {
            engines.filter { it.reservedFor != null && it.isFree() }.forEach { engine ->
                val model = checkNotNull(engine.reservedFor)
                if (!engine.fits(model) || !isWanted(model)) {
                    engine.reservedFor = null
                } else if (mayLoad(engine, model)) {
                    tryLoad(engine, model)
                    engine.reservedFor = null
                }
            }
        }

        fun needs(): List<Need> = spec.models.keys.mapNotNull { need(it) }
            .sortedByDescending { it.value }

        private fun need(model: String): Need? {
            val copies = copies(model)
            val reserved = engines.count { it.reservedFor == model }
            return when {
                copies == 0 && reserved > 0 -> null
                copies == 0 && isWanted(model) -> Need(model, lastCopyValue(model), mayEvict = true)
                copies == 0 -> Need(model, IDLE_VALUE, mayEvict = false)
                copies + reserved < desiredCopies(model) ->
                    Need(model, extraCopyValue(model, copies + 1), mayEvict = true)

                else -> null
            }
        }

        fun place(need: Need) {
            val candidates = engines.filter {
                it.isFree() && it.reservedFor == null && need.model !in it.models
            }
            val roomy = candidates.filter { it.fits(need.model) && mayLoad(it, need.model) }
            val target = roomy.minByOrNull { loadCost(it, need.model) }
            if (target != null) {
                tryLoad(target, need.model)
            } else if (need.mayEvict) {
                evictFor(need, candidates)
            }
        }

        private fun evictFor(need: Need, candidates: List<EngineInventory>) {
            val best = candidates
                .flatMap { engine -> engine.models.map { engine to it } }
                .filter { (engine, victim) -> engine.fitsWithout(victim, need.model) }
                .minByOrNull { (engine, victim) ->
                    loss(victim) + loadCost(engine, need.model) / MILLIS_PER_VALUE
                } ?: return
            val (engine, victim) = best
            if (loss(victim) * HYSTERESIS >= need.value) return
            engine.reservedFor = need.model
            order(engine, OrderKind.UNLOAD, victim)
        }

        private fun tryLoad(engine: EngineInventory, model: String) {
            if (!mayLoad(engine, model)) return
            if (loadMillis(engine, model) == storeMillis(model)) mayLoadFromStore = false
            order(engine, OrderKind.LOAD, model)
        }

        private fun order(engine: EngineInventory, kind: OrderKind, model: String) {
            val count = engine.expectedOrderCount()
            orders[engine.engine.id] =
                EngineOrder(engine.engine.id, kind, WantedModel(model), count)
        }

        private fun mayLoad(engine: EngineInventory, model: String): Boolean {
            if (loadMillis(engine, model) < storeMillis(model)) return true
            val atOnce = (spec.loadsPerSecond * storeMillis(model) / MILLIS_PER_SECOND).toInt()
            return mayLoadFromStore && storeLoadsOpen < atOnce.coerceAtLeast(1)
        }

        private fun loadCost(engine: EngineInventory, model: String): Double =
            loadMillis(engine, model) + engine.load * MILLIS_PER_REQUEST +
                engine.models.sumOf { demand.share(it) } * MILLIS_PER_SHARE

        private fun loss(victim: String): Double = when {
            copies(victim) > 1 -> extraCopyValue(victim, copies(victim))
            isWanted(victim) -> lastCopyValue(victim) + recency(victim)
            else -> IDLE_VALUE
        }

        private fun recency(model: String): Double {
            val last = demand.lastWantedMillis(model) ?: return 0.0
            return if (nowMillis - last < RECENT_MILLIS) RECENT_VALUE else 0.0
        }

        private fun lastCopyValue(model: String): Double = LAST_COPY_VALUE +
            demand.waitingFor(model) * WAITING_VALUE + demand.rate(model) * RATE_VALUE

        /** The value of the copy with the number [copy], which is above 1. */
        private fun extraCopyValue(model: String, copy: Int): Double =
            IDLE_VALUE + EXTRA_COPY_VALUE * demand.share(model) / copy

        private fun desiredCopies(model: String): Int {
            val share = demand.share(model)
            val byShare = (share * engines.size).roundToInt()
            val atLeast = if (share >= BUSY_SHARE) 2 else 1
            return maxOf(byShare, atLeast).coerceAtMost(engines.size)
        }

        private fun copies(model: String): Int = engines.count {
            model in it.models || it.loadingModel == model ||
                orders[it.engine.id]?.let { order ->
                    order.kind == OrderKind.LOAD && order.wanted.model == model
                } ?: false
        }

        private fun isWanted(model: String): Boolean {
            val last = demand.lastWantedMillis(model) ?: knowsSinceMillis
            return nowMillis - last < WANTED_MILLIS || demand.waitingFor(model) > 0
        }

        private fun EngineInventory.isFree(): Boolean = mayOrderModel && engine.id !in orders
    }

    private fun EngineInventory.fits(model: String): Boolean =
        usedMegabytes(spec) + spec.sizeOf(model) + adapterRoom() <= spec.memoryMegabytes

    private fun EngineInventory.fitsWithout(victim: String, model: String): Boolean {
        val freed = spec.sizeOf(victim) + adaptersOf(victim).size * spec.adapterSizeOf(victim)
        return usedMegabytes(spec) - freed + spec.sizeOf(model) + adapterRoom() <=
            spec.memoryMegabytes
    }

    private fun EngineInventory.adapterRoom(): Double {
        val largest = spec.models.values.maxOfOrNull { it.adapterMegabytes } ?: 0.0
        return (spec.adapterPlaces - adapterCount).coerceAtLeast(0) * largest
    }

    private fun loadMillis(engine: EngineInventory, model: String): Long {
        val known = spec.models.getValue(model)
        return when (model) {
            in engine.hostCopies -> known.hostLoadMillis
            in engine.diskCopies -> known.diskLoadMillis
            else -> known.storeLoadMillis
        }
    }

    private fun storeMillis(model: String): Long = spec.models.getValue(model).storeLoadMillis

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** A model that was asked for once in a while keeps its last copy this long. */
        const val WANTED_MILLIS = 15_000L

        /** Above this part of all tokens the loss of the only copy would be felt. */
        const val BUSY_SHARE = 0.12

        /** Values are an order: a last copy, then further copies, then idle models. */
        const val LAST_COPY_VALUE = 1_000.0
        const val EXTRA_COPY_VALUE = 500.0
        const val IDLE_VALUE = 1.0

        /** A waiting request outweighs about two requests a second that are served elsewhere. */
        const val WAITING_VALUE = 20.0
        const val RATE_VALUE = 10.0

        /** A copy that has just been used is likely to be used again. */
        const val RECENT_MILLIS = 1_000L
        const val RECENT_VALUE = 30.0

        /** A copy is given up only for one worth a third more. */
        const val HYSTERESIS = 1.3

        /** A running request counts as five milliseconds of load time when engines are compared. */
        const val MILLIS_PER_REQUEST = 5.0

        /** A busy neighbour counts as up to a second of load time. */
        const val MILLIS_PER_SHARE = 1_000.0

        /** A second of load time weighs as one idle model when a victim is chosen. */
        const val MILLIS_PER_VALUE = 1_000.0
    }
}
