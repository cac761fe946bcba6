package mustarddale.instance.serving.leader

import mustarddale.serving.backend.Backend
import mustarddale.serving.config.EngineSpec
import mustarddale.serving.residency.AdapterPlanner
import mustarddale.serving.residency.EngineInventory
import mustarddale.serving.residency.EngineOrder
import mustarddale.serving.residency.LateOrders
import mustarddale.serving.residency.ModelDemand
import mustarddale.serving.residency.ResidencyPlanner
import mustarddale.serving.residency.StoreLoadLimiter

/**
 * Placement state of one model [service]; takes over demand, load rate and inventories from
 * [previous], the state under an older configuration.
 *
 * @param leadingSinceMillis when this instance became leader; it has seen no demand before that.
 */
internal class ServicePlacement(
    val service: String,
    val configuredSpec: EngineSpec,
    previous: ServicePlacement?,
    leadingSinceMillis: Long,
    nowMillis: Long
) {
    /** The configured specification with what engines may still hold of earlier ones. */
    val spec: EngineSpec =
        previous?.let { configuredSpec.withRemovedModelsOf(it.spec) } ?: configuredSpec
    val modelPlanner = ResidencyPlanner(spec, leadingSinceMillis)
    val adapterPlanner = AdapterPlanner(spec)
    val demand: ModelDemand = previous?.demand ?: ModelDemand()

    /** Limits how often models are loaded from the weight store. */
    val loadLimiter: StoreLoadLimiter =
        previous?.loadLimiter ?: StoreLoadLimiter(spec.loadsPerSecond, nowMillis)

    /** What each engine holds, by engine id. */
    val inventories: HashMap<String, EngineInventory> = previous?.inventories ?: HashMap()

    /** Unanswered orders by engine id, also to engines that are not listed at the moment. */
    private val lateOrders: HashMap<String, LateOrders> = previous?.lateOrders ?: HashMap()

    /** Ids of the engines whose report has been requested and not yet received. */
    val pendingReports = HashSet<String>()

    /** Tracks [backends] at [nowMillis]; a restarted engine gets a new, empty inventory. */
    fun updateBackends(backends: List<Backend>, nowMillis: Long) {
        inventories.keys.retainAll(backends.map { it.id }.toSet())
        lateOrders.values.forEach { it.removeExpired(nowMillis) }
        lateOrders.entries.removeIf { it.value.isEmpty && it.key !in inventories }
        backends.forEach { backend ->
            val inventory = inventories[backend.id]
            if (inventory == null || !inventory.engine.isSameRun(backend)) {
                inventories[backend.id] =
                    EngineInventory(backend, lateOrders.getOrPut(backend.id) { LateOrders() })
            } else {
                inventory.engine = backend
            }
        }
    }

    /** Whether the load [order] reads from the weight store because the engine has no copy. */
    fun usesStore(inventory: EngineInventory, order: EngineOrder): Boolean =
        order.target.model !in inventory.hostCachedModels &&
            order.target.model !in inventory.diskCachedModels
}
