/*
 * Decides which engine holds which adapter. Adapters load within milliseconds but have few places,
 * so they are loaded when a request waits for one, in place of the one unused for longest.
 */
package mustarddale.serving.residency

import mustarddale.serving.backend.ModelRef
import mustarddale.serving.config.EngineSpec

/** Plans the adapters of one service's engines. */
public class AdapterPlanner(private val spec: EngineSpec) {
    /** Returns the next orders, at most one for an engine, for [engines] that may be ordered. */
    public fun plan(
        engines: List<EngineInventory>,
        demand: ModelDemand,
        nowMillis: Long
    ): List<EngineOrder> {
        val free = engines.filter { it.mayOrderAdapter }.toMutableList()
        val missing = demand.waitingAdapters().entries.sortedByDescending { it.value }
            .map { it.key }
            .filter { wanted -> engines.none { it.hasOrAwaits(wanted) && it.isUsableFor(wanted) } }
        val spread = demand.knownAdapters
            .filter { demand.adapterRate(it) >= SECOND_COPY_RATE }
            .filter { wanted -> engines.count { it.hasOrAwaits(wanted) } == 1 }
            .sortedByDescending { demand.adapterRate(it) }
        return missing.mapNotNull { order(it, free, demand, mayEvict = true, nowMillis) } +
            spread.mapNotNull { order(it, free, demand, mayEvict = false, nowMillis) }
    }

    private fun order(
        wanted: ModelRef,
        free: MutableList<EngineInventory>,
        demand: ModelDemand,
        mayEvict: Boolean,
        nowMillis: Long
    ): EngineOrder? {
        val holders = free.filter { it.isUsableFor(wanted) && !it.hasOrAwaits(wanted) }
        val roomy = holders.filter { it.hasRoom(wanted) }.minByOrNull { it.load }
        if (roomy != null) {
            free.remove(roomy)
            return EngineOrder(
                roomy.engine.id,
                OrderKind.LOAD,
                wanted,
                roomy.expectedOrderCount()
            )
        }
        if (!mayEvict || holders.any { it.comingCount >= MAX_COMING }) return null
        val (engine, victim) = holders
            .flatMap { engine -> engine.held().map { engine to it } }
            .filter { (_, held) -> idleMillis(held, demand, nowMillis) >= MIN_IDLE_MILLIS }
            .maxByOrNull { (_, held) -> idleMillis(held, demand, nowMillis) } ?: return null
        free.remove(engine)
        return EngineOrder(
            engine.engine.id,
            OrderKind.UNLOAD,
            victim,
            engine.expectedOrderCount()
        )
    }

    private fun idleMillis(held: ModelRef, demand: ModelDemand, nowMillis: Long): Long =
        demand.lastRequestedMillis(held)?.let { nowMillis - it } ?: Long.MAX_VALUE

    private fun EngineInventory.held(): List<ModelRef> =
        models.flatMap { model -> adaptersOf(model).map { ModelRef(model, it) } }

    private fun EngineInventory.isUsableFor(wanted: ModelRef): Boolean = wanted.model in models

    private fun EngineInventory.hasRoom(wanted: ModelRef): Boolean =
        adapterCount < spec.adapterSlots && comingCount < MAX_COMING &&
            usedMegabytes(spec) + spec.adapterSizeOf(wanted.model) <= spec.memoryMegabytes

    private companion object {
        /** An engine refuses more than four adapters on their way. */
        const val MAX_COMING = 4

        /** An adapter that was just asked for has requests under way. */
        const val MIN_IDLE_MILLIS = 150L

        /** Requests a second above which an adapter is worth a second place. */
        const val SECOND_COPY_RATE = 2.0
    }
}
