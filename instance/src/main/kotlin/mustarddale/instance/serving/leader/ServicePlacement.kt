package mustarddale.instance.serving.leader

import mustarddale.serving.backend.Backend
import mustarddale.serving.config.EngineSpec
import mustarddale.serving.residency.AdapterPlanner
import mustarddale.serving.residency.EngineInventory
import mustarddale.serving.residency.EngineOrder
import mustarddale.serving.residency.LoadPace
import mustarddale.serving.residency.ModelDemand
import mustarddale.serving.residency.ResidencyPlanner

/** Plans for one model [service]; goes on from [before] if there was one. */
internal class ServicePlacement(
    val service: String,
    val spec: EngineSpec,
    before: ServicePlacement?,
    knowsSinceMillis: Long,
    nowMillis: Long
) {
    val planner = ResidencyPlanner(spec, knowsSinceMillis)
    val adapterPlanner = AdapterPlanner(spec)
    val demand: ModelDemand = before?.demand ?: ModelDemand()
    val pace: LoadPace = before?.pace ?: LoadPace(spec.loadsPerSecond, nowMillis)
    val inventories: HashMap<String, EngineInventory> = before?.inventories ?: HashMap()
    val asking = HashSet<String>()

    /** Follows the service's [backends]: a new run of an engine holds nothing that is known. */
    fun refresh(backends: List<Backend>) {
        inventories.keys.retainAll(backends.map { it.id }.toSet())
        backends.forEach { backend ->
            val inventory = inventories[backend.id]
            if (inventory == null || !inventory.engine.isSameRun(backend)) {
                inventories[backend.id] = EngineInventory(backend)
            } else {
                inventory.engine = backend
            }
        }
    }

    /** Whether [order], a load, takes its model from the weight store. */
    fun isFromStore(inventory: EngineInventory, order: EngineOrder): Boolean =
        order.wanted.model !in inventory.hostCopies &&
            order.wanted.model !in inventory.diskCopies
}
