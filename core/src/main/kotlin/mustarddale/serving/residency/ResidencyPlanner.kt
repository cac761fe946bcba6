/*
 * Decides which engine loads which model. It is meant for a load in which a few models, which
 * change every few seconds, receive most requests and many models receive few. Busy models get
 * copies in proportion to their tokens, each requested model gets at least one, and rarely used
 * models take turns when memory is short. A copy is evicted only for one worth clearly more. If the
 * copies of a model have too few slots for its requests, a further copy is worth the requests that
 * find no slot, and models that can do with fewer copies give one up.
 */
package mustarddale.serving.residency

import kotlin.math.ceil
import kotlin.math.roundToInt
import mustarddale.serving.backend.ModelRef
import mustarddale.serving.config.EngineSpec

/**
 * Plans the models of the engines of one service.
 *
 * @param demandSinceMillis the time from which demand is known; every model counts as requested for
 *   a while after it, because earlier demand is not known.
 */
public class ResidencyPlanner(private val spec: EngineSpec, private val demandSinceMillis: Long) {
    /**
     * Returns the next orders, at most one for each engine.
     *
     * @param engines the engines of the service without those that are draining.
     * @param mayLoadFromStore whether the weight store can serve one more load.
     */
    public fun plan(
        engines: List<EngineInventory>,
        demand: ModelDemand,
        mayLoadFromStore: Boolean,
        nowMillis: Long
    ): List<EngineOrder> {
        val plan = Plan(engines, demand, mayLoadFromStore, nowMillis)
        plan.loadReserved()
        plan.copyRequests().forEach { plan.place(it) }
        plan.unloadRemoved()
        return plan.orders.values.toList()
    }

    /**
     * The need for a copy of [model], which is worth [value] requests per second.
     *
     * @property lacksSlots whether the present copies have too few slots for its requests.
     */
    private data class CopyRequest(
        val model: String,
        val value: Double,
        val mayEvict: Boolean,
        val lacksSlots: Boolean = false
    )

    /** One planning round, in which the contents of [inventories] do not change. */
    private inner class Plan(
        inventories: List<EngineInventory>,
        val demand: ModelDemand,
        var mayLoadFromStore: Boolean,
        val nowMillis: Long
    ) {
        val orders = LinkedHashMap<String, EngineOrder>()
        private val engines = inventories.map { PlannedEngine(it) }
        private val copies = HashMap<String, Int>()
        private val reserved = HashMap<String, Int>()
        private val storeLoadCount = inventories.count { engine ->
            engine.loadingModel?.let { loadMillis(engine, it) == storeMillis(it) } ?: false
        }

        init {
            engines.forEach { engine ->
                engine.models.forEach { copies.merge(it, 1, Int::plus) }
                engine.inventory.loadingModel?.takeIf { it !in engine.models }
                    ?.let { copies.merge(it, 1, Int::plus) }
                engine.inventory.reservedFor?.let { reserved.merge(it, 1, Int::plus) }
            }
        }

        fun loadReserved() {
            engines.filter { it.inventory.reservedFor != null && isOrderable(it) }
                .forEach { engine ->
                    val model = checkNotNull(engine.inventory.reservedFor)
                    if (model !in spec.models || !engine.fits(model)) {
                        reserve(engine, null)
                    } else if (mayLoad(engine, model)) {
                        tryLoad(engine, model)
                        reserve(engine, null)
                    }
                }
        }

        private fun reserve(engine: PlannedEngine, model: String?) {
            engine.inventory.reservedFor?.let { reserved.merge(it, -1, Int::plus) }
            engine.inventory.reservedFor = model
            model?.let { reserved.merge(it, 1, Int::plus) }
        }

        fun copyRequests(): List<CopyRequest> = spec.models.keys.mapNotNull { copyRequest(it) }
            .sortedByDescending { it.value }

        private fun copyRequest(model: String): CopyRequest? {
            val copies = copies(model)
            val reserved = reserved[model] ?: 0
            val waiting = demand.waitingFor(model)
            return when {
                copies + reserved == 0 && waiting > 0 ->
                    CopyRequest(
                        model,
                        WAITING_VALUE + waiting + demand.rate(model),
                        mayEvict = true
                    )

                copies + reserved == 0 ->
                    CopyRequest(model, demand.rate(model), mayEvict = false)

                copies + reserved < copiesForSlots(model) -> CopyRequest(
                    model,
                    extraCopyValue(model) + rateWithoutSlot(model, copies + reserved),
                    mayEvict = true,
                    lacksSlots = true
                )

                copies > 0 && copies + reserved < desiredCopies(model) ->
                    CopyRequest(model, extraCopyValue(model), mayEvict = true)

                else -> null
            }
        }

        fun place(request: CopyRequest) {
            val candidates = engines.filter {
                isOrderable(it) && it.inventory.reservedFor == null && request.model !in it.models
            }
            val fitting =
                candidates.filter { it.fits(request.model) && mayLoad(it, request.model) }
            val target = fitting.minByOrNull { loadCost(it, request.model) }
            if (target != null) {
                tryLoad(target, request.model)
            } else if (request.mayEvict) {
                evictFor(request, candidates)
            }
        }

        private fun evictFor(request: CopyRequest, candidates: List<PlannedEngine>) {
            val changingCount = engines.count {
                it.inventory.isChangingModels || it.inventory.reservedFor != null
            }
            if (changingCount + orders.size >= maxChangingEngines(request)) return
            val best = candidates
                .flatMap { engine -> engine.models.map { engine to it } }
                .filter { (engine, victim) -> engine.fitsWithout(victim, request.model) }
                .filter { (engine, victim) ->
                    !engine.inventory.isRecentlyLoaded(victim, nowMillis)
                }
                .minByOrNull { (engine, victim) ->
                    evictionCost(victim, request) +
                        loadCost(engine, request.model) / MILLIS_PER_VALUE
                } ?: return
            val (engine, victim) = best
            if (evictionCost(victim, request) * HYSTERESIS >= request.value) return
            reserve(engine, request.model)
            order(engine, OrderKind.UNLOAD, victim)
        }

        /** Frees the memory of models that are not configured any more. */
        fun unloadRemoved() {
            engines.filter { isOrderable(it) && it.inventory.reservedFor == null }
                .forEach { engine ->
                    val removed = engine.models.firstOrNull { it !in spec.models }
                    removed?.let { order(engine, OrderKind.UNLOAD, it) }
                }
        }

        private fun maxChangingEngines(request: CopyRequest): Int = when {
            request.value >= WAITING_VALUE -> (engines.size + 1) / 2
            else -> maxOf(1, engines.size / MAX_CHANGING_DIVISOR)
        }

        private fun tryLoad(engine: PlannedEngine, model: String) {
            if (!mayLoad(engine, model)) return
            if (loadMillis(engine.inventory, model) == storeMillis(model)) mayLoadFromStore = false
            order(engine, OrderKind.LOAD, model)
            if (model !in engine.models) copies.merge(model, 1, Int::plus)
        }

        private fun order(engine: PlannedEngine, kind: OrderKind, model: String) {
            val count = engine.inventory.expectedOrderCount()
            orders[engine.id] = EngineOrder(engine.id, kind, ModelRef(model), count)
        }

        private fun mayLoad(engine: PlannedEngine, model: String): Boolean {
            if (loadMillis(engine.inventory, model) < storeMillis(model)) return true
            val maxLoads = (spec.loadsPerSecond * storeMillis(model) / MILLIS_PER_SECOND).toInt()
            return mayLoadFromStore && storeLoadCount < maxLoads.coerceAtLeast(1)
        }

        private fun loadCost(engine: PlannedEngine, model: String): Double =
            loadMillis(engine.inventory, model) +
                engine.inventory.requestCount * MILLIS_PER_REQUEST +
                engine.models.sumOf { demand.share(it) } * MILLIS_PER_DEMAND_SHARE

        private fun evictionCost(victim: String, request: CopyRequest): Double {
            val remaining = copies(victim) - 1
            val isSpare = copies(victim) > desiredCopies(victim) ||
                request.lacksSlots && remaining >= 1 && remaining >= copiesForSlots(victim)
            if (isSpare) return demand.rate(victim) * SPARE_FACTOR
            if (remaining > 0) return extraCopyValue(victim) + rateWithoutSlot(victim, remaining)
            return effectiveRate(victim) + recencyValue(victim) + demand.waitingFor(victim)
        }

        /** Returns the rate of [model], with an assumed minimum while too little is known. */
        private fun effectiveRate(model: String): Double {
            val isWarmingUp = nowMillis - demandSinceMillis < DEMAND_WARM_UP_MILLIS
            return maxOf(demand.rate(model), if (isWarmingUp) ASSUMED_MIN_RATE else 0.0)
        }

        private fun recencyValue(model: String): Double {
            val lastRequestedMillis = demand.lastRequestedMillis(model) ?: return 0.0
            return if (nowMillis - lastRequestedMillis < RECENT_MILLIS) RECENT_VALUE else 0.0
        }

        private fun extraCopyValue(model: String): Double = demand.rate(model) * EXTRA_COPY_FACTOR

        /** Returns the rate of the requests for [model] that find no slot with [copies] copies. */
        private fun rateWithoutSlot(model: String, copies: Int): Double {
            val neededSlots = demand.neededSlots(model)
            val missingSlots = neededSlots - copies * usableSlots
            return if (missingSlots <= 0) 0.0 else demand.rate(model) * missingSlots / neededSlots
        }

        private fun copiesForSlots(model: String): Int =
            ceil(demand.neededSlots(model) / usableSlots).toInt().coerceAtMost(engines.size)

        private fun desiredCopies(model: String): Int {
            val share = demand.share(model)
            val copiesByShare = (share * engines.size).roundToInt()
            val minCopies = if (share >= BUSY_SHARE) 2 else 1
            return maxOf(copiesByShare, minCopies).coerceAtMost(engines.size)
        }

        /** Returns the number of engines that hold, load or are ordered to load [model]. */
        private fun copies(model: String): Int = copies[model] ?: 0

        private fun isOrderable(engine: PlannedEngine): Boolean =
            engine.inventory.mayOrderModel && engine.id !in orders
    }

    /** An engine's contents at the start of a planning round. */
    private inner class PlannedEngine(val inventory: EngineInventory) {
        val id: String = inventory.engine.id
        val models: Set<String> = inventory.models

        /** The memory for models, without what is kept free for adapters in the unused slots. */
        private val freeMegabytes: Double = spec.memoryMegabytes - inventory.usedMegabytes(spec) -
            (spec.adapterSlots - inventory.adapterCount).coerceAtLeast(0) * spec.maxAdapterMegabytes

        fun fits(model: String): Boolean = spec.megabytesOf(model) <= freeMegabytes

        fun fitsWithout(victim: String, model: String): Boolean {
            val freedMegabytes = spec.megabytesOf(victim) +
                inventory.adaptersOf(victim).size * spec.adapterMegabytesOf(victim)
            return spec.megabytesOf(model) <= freeMegabytes + freedMegabytes
        }
    }

    /** The slots of an engine that requests for one model may take on average. */
    private val usableSlots = maxOf(1.0, spec.slots * USABLE_SLOT_SHARE)

    private fun loadMillis(engine: EngineInventory, model: String): Long =
        engine.loadMillis(spec, model)

    private fun storeMillis(model: String): Long = spec.storeLoadMillisOf(model)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** The rest of an engine's slots is for its other models and for fluctuations. */
        const val USABLE_SLOT_SHARE = 0.5

        /** Share of all tokens from which a model needs a second copy, in case one is lost. */
        const val BUSY_SHARE = 0.12

        // The value of a copy is the number of requests per second that benefit from it.

        /** Added for a model that is not loaded, as requests that wait for it fail without it. */
        const val WAITING_VALUE = 3.0

        /** Weight of a further copy, which halves the load and remains when an engine is lost. */
        const val EXTRA_COPY_FACTOR = 0.1

        /** Weight of a copy above the desired number, which is of little use but does no harm. */
        const val SPARE_FACTOR = 0.01

        /** Until demand has been counted for this long, any model may be a rarely used one. */
        const val DEMAND_WARM_UP_MILLIS = 10_000L

        /** Minimum rate of each model during that time, in requests per second. */
        const val ASSUMED_MIN_RATE = 0.2

        /** A model requested more recently has requests in progress, which delay its unload. */
        const val RECENT_MILLIS = 1_500L

        /** Added to the cost of evicting such a model. */
        const val RECENT_VALUE = 0.7

        /** A copy is evicted only for one that is worth about a third more. */
        const val HYSTERESIS = 1.3

        /**
         * At most a third of the engines change models at a time, because they cannot load adapters
         * meanwhile; up to half of them may for a model that is not loaded and waited for.
         */
        const val MAX_CHANGING_DIVISOR = 3

        /** A request on an engine weighs as much as 5 ms of load time. */
        const val MILLIS_PER_REQUEST = 5.0

        /** Busy models on the same engine weigh as much as up to 1 s of load time. */
        const val MILLIS_PER_DEMAND_SHARE = 1_000.0

        /** 4 s of load time weigh as much as a value of 1 in the choice of a copy to evict. */
        const val MILLIS_PER_VALUE = 4_000.0
    }
}
