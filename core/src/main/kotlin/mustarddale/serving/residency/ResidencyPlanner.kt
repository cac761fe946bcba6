/*
 * Decides which engine holds which model. It answers a load in which a few models, which change
 * every few seconds, get most requests and many get few: busy models get copies in proportion to
 * their tokens, each model that is asked for gets at least one, and rare models share places by
 * turns when memory is short. A copy is given up only for one that is worth clearly more.
 */
package mustarddale.serving.residency

import kotlin.math.roundToInt
import mustarddale.serving.backend.ModelRef
import mustarddale.serving.config.EngineSpec

/**
 * Plans the models of one service's engines.
 *
 * @param demandSinceMillis since when demand is counted; what was asked for before is not known, so
 *   every model counts as wanted for a while.
 */
public class ResidencyPlanner(private val spec: EngineSpec, private val demandSinceMillis: Long) {
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
                if (!engine.fits(model)) {
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
            val waiting = demand.waitingFor(model)
            return when {
                copies + reserved == 0 && waiting > 0 ->
                    Need(model, WAITING_VALUE + waiting + demand.rate(model), mayEvict = true)

                copies + reserved == 0 -> Need(model, demand.rate(model), mayEvict = false)

                copies > 0 && copies + reserved < desiredCopies(model) ->
                    Need(model, extraCopyValue(model), mayEvict = true)

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
            val changing = engines.count { it.isChangingModels || it.reservedFor != null }
            if (changing + orders.size >= maxChanging(need)) return
            val best = candidates
                .flatMap { engine -> engine.models.map { engine to it } }
                .filter { (engine, victim) -> engine.fitsWithout(victim, need.model) }
                .filter { (engine, victim) -> !engine.isNew(victim, nowMillis) }
                .minByOrNull { (engine, victim) ->
                    loss(victim) + loadCost(engine, need.model) / MILLIS_PER_VALUE
                } ?: return
            val (engine, victim) = best
            if (loss(victim) * HYSTERESIS >= need.value) return
            engine.reservedFor = need.model
            order(engine, OrderKind.UNLOAD, victim)
        }

        private fun maxChanging(need: Need): Int = when {
            need.value >= WAITING_VALUE -> (engines.size + 1) / 2
            else -> maxOf(1, engines.size / MAX_CHANGING_PART)
        }

        private fun tryLoad(engine: EngineInventory, model: String) {
            if (!mayLoad(engine, model)) return
            if (loadMillis(engine, model) == storeMillis(model)) mayLoadFromStore = false
            order(engine, OrderKind.LOAD, model)
        }

        private fun order(engine: EngineInventory, kind: OrderKind, model: String) {
            val count = engine.expectedOrderCount()
            orders[engine.engine.id] =
                EngineOrder(engine.engine.id, kind, ModelRef(model), count)
        }

        private fun mayLoad(engine: EngineInventory, model: String): Boolean {
            if (loadMillis(engine, model) < storeMillis(model)) return true
            val atOnce = (spec.loadsPerSecond * storeMillis(model) / MILLIS_PER_SECOND).toInt()
            return mayLoadFromStore && storeLoadsOpen < atOnce.coerceAtLeast(1)
        }

        private fun loadCost(engine: EngineInventory, model: String): Double =
            loadMillis(engine, model) + engine.load * MILLIS_PER_REQUEST +
                engine.models.sumOf { demand.share(it) } * MILLIS_PER_SHARE

        private fun loss(victim: String): Double {
            if (copies(victim) > desiredCopies(victim)) return demand.rate(victim) * SPARE_COPY_PART
            if (copies(victim) > 1) return extraCopyValue(victim)
            return rate(victim) + recency(victim) + demand.waitingFor(victim)
        }

        /** The rate of [model], or a guess while too little is known. */
        private fun rate(model: String): Double {
            val isUnknown = nowMillis - demandSinceMillis < LEARNING_MILLIS
            return maxOf(demand.rate(model), if (isUnknown) UNKNOWN_RATE else 0.0)
        }

        private fun recency(model: String): Double {
            val last = demand.lastRequestedMillis(model) ?: return 0.0
            return if (nowMillis - last < RECENT_MILLIS) RECENT_VALUE else 0.0
        }

        private fun extraCopyValue(model: String): Double = demand.rate(model) * EXTRA_COPY_PART

        private fun desiredCopies(model: String): Int {
            val share = demand.share(model)
            val byShare = (share * engines.size).roundToInt()
            val atLeast = if (share >= BUSY_SHARE) 2 else 1
            return maxOf(byShare, atLeast).coerceAtMost(engines.size)
        }

        private fun copies(model: String): Int = engines.count {
            model in it.models || it.loadingModel == model ||
                orders[it.engine.id]?.let { order ->
                    order.kind == OrderKind.LOAD && order.target.model == model
                } ?: false
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
        return (spec.adapterSlots - adapterCount).coerceAtLeast(0) * largest
    }

    private fun loadMillis(engine: EngineInventory, model: String): Long =
        engine.loadMillis(spec, model)

    private fun storeMillis(model: String): Long = spec.models.getValue(model).storeLoadMillis

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Above this part of all tokens the loss of the only copy would be felt. */
        const val BUSY_SHARE = 0.12

        /** All values are in requests a second that are served better. */

        /** A request that waits for an absent model is lost without it. */
        const val WAITING_VALUE = 3.0

        /** A further copy halves the load of the first and is there when an engine is lost. */
        const val EXTRA_COPY_PART = 0.1

        /** A copy above the desired number is of little use, but no burden. */
        const val SPARE_COPY_PART = 0.01

        /** Until demand has been counted for a while, each model may be a rare one. */
        const val LEARNING_MILLIS = 10_000L
        const val UNKNOWN_RATE = 0.2

        /** A copy that has just been used has requests under way, which an unload waits for. */
        const val RECENT_MILLIS = 1_500L
        const val RECENT_VALUE = 0.7

        /** A copy is given up only for one worth a third more. */
        const val HYSTERESIS = 1.3

        /**
         * An engine that changes its models takes no adapters, so only a third does at a time; up
         * to half of them for a model that requests wait for in vain.
         */
        const val MAX_CHANGING_PART = 3

        /** A running request counts as five milliseconds of load time when engines are compared. */
        const val MILLIS_PER_REQUEST = 5.0

        /** A busy neighbour counts as up to a second of load time. */
        const val MILLIS_PER_SHARE = 1_000.0

        /** Four seconds of load time weigh as a request a second when a victim is chosen. */
        const val MILLIS_PER_VALUE = 4_000.0
    }
}
