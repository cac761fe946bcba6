/*
 * Decides which engine loads which adapter. Adapters load within milliseconds but engines have few
 * slots for them, so an adapter is loaded when a request waits for it, in place of the least
 * recently used one.
 */
package mustarddale.serving.residency

import mustarddale.serving.backend.ModelRef
import mustarddale.serving.config.EngineSpec

/** Plans the adapters of the engines of one service. */
public class AdapterPlanner(private val spec: EngineSpec) {
    /** Returns the next orders to [engines], at most one for each. */
    public fun plan(
        engines: List<EngineInventory>,
        demand: ModelDemand,
        nowMillis: Long
    ): List<EngineOrder> {
        val orderable = engines.filter { it.mayOrderAdapter }.toMutableList()
        val missing = demand.waitingAdapters().entries.sortedByDescending { it.value }
            .map { it.key }
            .filter { wanted ->
                engines.none { it.hasOrIsLoading(wanted) && it.hasModelOf(wanted) }
            }
        val popular = demand.knownAdapters
            .filter { demand.adapterRate(it) >= SECOND_COPY_RATE }
            .filter { wanted -> engines.count { it.hasOrIsLoading(wanted) } == 1 }
            .sortedByDescending { demand.adapterRate(it) }
        return missing.mapNotNull { order(it, orderable, demand, mayEvict = true, nowMillis) } +
            popular.mapNotNull { order(it, orderable, demand, mayEvict = false, nowMillis) }
    }

    private fun order(
        wanted: ModelRef,
        orderable: MutableList<EngineInventory>,
        demand: ModelDemand,
        mayEvict: Boolean,
        nowMillis: Long
    ): EngineOrder? {
        val candidates = orderable.filter { it.hasModelOf(wanted) && !it.hasOrIsLoading(wanted) }
        val target = candidates.filter { it.hasRoomFor(wanted) }.minByOrNull { it.requestCount }
        if (target != null) {
            orderable.remove(target)
            return EngineOrder(
                target.engine.id,
                OrderKind.LOAD,
                wanted,
                target.expectedOrderCount()
            )
        }
        if (!mayEvict || candidates.any { it.loadingAdapterCount >= MAX_LOADING }) return null
        val (engine, victim) = candidates
            .flatMap { engine -> engine.loadedAdapters().map { engine to it } }
            .filter { (_, adapter) -> idleMillis(adapter, demand, nowMillis) >= MIN_IDLE_MILLIS }
            .maxByOrNull { (_, adapter) -> idleMillis(adapter, demand, nowMillis) } ?: return null
        orderable.remove(engine)
        return EngineOrder(
            engine.engine.id,
            OrderKind.UNLOAD,
            victim,
            engine.expectedOrderCount()
        )
    }

    private fun idleMillis(adapter: ModelRef, demand: ModelDemand, nowMillis: Long): Long =
        demand.lastRequestedMillis(adapter)?.let { nowMillis - it } ?: Long.MAX_VALUE

    private fun EngineInventory.loadedAdapters(): List<ModelRef> =
        models.flatMap { model -> adaptersOf(model).map { ModelRef(model, it) } }

    private fun EngineInventory.hasModelOf(wanted: ModelRef): Boolean = holdsModel(wanted.model)

    private fun EngineInventory.hasRoomFor(wanted: ModelRef): Boolean =
        adapterCount < spec.adapterSlots && loadingAdapterCount < MAX_LOADING &&
            usedMegabytes(spec) + spec.adapterMegabytesOf(wanted.model) <= spec.memoryMegabytes

    private companion object {
        /** An engine refuses to load more than four adapters at the same time. */
        const val MAX_LOADING = 4

        /** An adapter that was requested more recently still has requests in progress. */
        const val MIN_IDLE_MILLIS = 150L

        /** Requests per second above which an adapter is worth a copy on a second engine. */
        const val SECOND_COPY_RATE = 2.0
    }
}
