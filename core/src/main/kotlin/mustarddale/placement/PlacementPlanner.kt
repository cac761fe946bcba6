/*
 * Decides which order makes an artifact (a model or an adapter) resident on an engine. An engine
 * with enough free memory is preferred; otherwise an artifact is unloaded: preferably one that has
 * another replica, and of those the least recently used.
 */
package mustarddale.placement

import mustarddale.config.BackendServer
import mustarddale.config.ConfigurationIndex
import mustarddale.control.ControlRecord.OrderProposed
import mustarddale.memory.ArtifactSizes
import mustarddale.memory.LedgerEntry
import mustarddale.memory.MemoryLedger
import mustarddale.memory.OrderKind
import mustarddale.memory.Residency

/** The times at which artifacts were last requested from this instance. */
public fun interface LastUseTimes {
    /** Returns the monotonic time of the last request for [artifact], null if there was none. */
    public fun lastUsedMillis(artifact: String): Long?
}

/** Plans load and unload orders from the memory [ledger] and the configuration [index]. */
public class PlacementPlanner(
    private val index: ConfigurationIndex,
    private val ledger: MemoryLedger,
    private val lastUse: LastUseTimes
) {
    /** Returns the next order towards making [artifact] resident, null if none helps now. */
    public fun nextOrder(service: String, artifact: String): OrderProposed? {
        val bytes = ArtifactSizes.memoryBytes(index, service, artifact) ?: return null
        val baseModel = index.models[artifact]?.takeIf { it.adapter != null }?.model?.name
        val engines = index.servers(service)
            .filter { index.isAvailable(it) && (baseModel == null || isResident(it, baseModel)) }
        if (engines.any { isLoadingOrResident(it, artifact) }) return null
        val withFreeMemory = engines.filter { freeBytes(it) >= bytes }
        val best = withFreeMemory.maxByOrNull { freeBytes(it) }
        if (best != null) return OrderProposed(best.name, OrderKind.LOAD, artifact)
        return nextUnload(engines, bytes, baseModel)
    }

    /**
     * Returns the next load order that adds a replica of a model of [service] in another failure
     * domain, for models with replicas in fewer than [REPLICA_DOMAINS]; null if there is no such
     * model or no free memory. It never unloads a model, which could make replicas move back and
     * forth.
     */
    public fun nextReplicaOrder(service: String): OrderProposed? = index.models.values
        .filter { it.service == service && it.adapter == null }
        .map { it.model to replicaDomains(service, it.model.name) }
        .filter { (_, domains) -> domains.size < REPLICA_DOMAINS }
        .sortedBy { (_, domains) -> domains.size }
        .firstNotNullOfOrNull { (model, domains) ->
            index.servers(service)
                .filter { index.isAvailable(it) && it.failureDomain !in domains }
                .filter { ledger.find(it.name, model.name) == null }
                .filter { freeBytes(it) >= model.memoryBytes }
                .maxByOrNull { freeBytes(it) }
                ?.let { OrderProposed(it.name, OrderKind.LOAD, model.name) }
        }

    private fun nextUnload(
        engines: List<BackendServer>,
        bytes: Long,
        baseModel: String?
    ): OrderProposed? {
        val largeEnough = engines.filter { it.memoryBytes >= bytes }
        if (largeEnough.any(::isUnloading)) return null
        val evicted = largeEnough
            .flatMap { ledger.entries(it.name) }
            .filter { it.residency == Residency.RESIDENT && it.artifact != baseModel }
            .filterNot { it.memoryBytes == 0L || hasLoadedAdapters(it) }
            .minWithOrNull(
                compareBy({ isOnlyReplica(it) }, { lastUse.lastUsedMillis(it.artifact) })
            )
            ?: return null
        return OrderProposed(evicted.server, OrderKind.UNLOAD, evicted.artifact)
    }

    private fun isOnlyReplica(entry: LedgerEntry): Boolean {
        val service = index.server(entry.server)?.service ?: return false
        return index.servers(service).count { isResident(it, entry.artifact) } < 2
    }

    private fun replicaDomains(service: String, model: String): Set<String> = index.servers(service)
        .filter { index.isAvailable(it) && isLoadingOrResident(it, model) }
        .map { it.failureDomain }
        .toSet()

    private fun isUnloading(server: BackendServer): Boolean =
        ledger.entries(server.name).any { it.residency == Residency.UNLOADING }

    private fun hasLoadedAdapters(entry: LedgerEntry): Boolean = ledger.entries(entry.server).any {
        val model = index.models[it.artifact]
        model?.adapter != null && model.model.name == entry.artifact
    }

    private fun isResident(server: BackendServer, artifact: String): Boolean =
        ledger.find(server.name, artifact)?.residency == Residency.RESIDENT

    private fun isLoadingOrResident(server: BackendServer, artifact: String): Boolean =
        ledger.find(server.name, artifact)?.residency in
            setOf(Residency.LOADING, Residency.RESIDENT)

    private fun freeBytes(server: BackendServer): Long =
        server.memoryBytes - ledger.committedBytes(server.name)

    private companion object {
        /** The number of failure domains in which a model has a replica where memory allows. */
        const val REPLICA_DOMAINS = 2
    }
}
