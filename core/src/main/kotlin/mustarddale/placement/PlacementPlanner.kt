/*
 * Decides which order brings an artifact to an engine. It prefers an engine with room; else it
 * unloads what has another copy, and of that what was used longest ago.
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

/** When each artifact was last asked for here, in milliseconds of the monotonic clock. */
public fun interface LastUseTimes {
    /** The time of the last use of [artifact], null if there was none. */
    public fun lastUsedMillis(artifact: String): Long?
}

/** The placement of artifacts by the agreed [ledger] and the configuration [index]. */
public class PlacementPlanner(
    private val index: ConfigurationIndex,
    private val ledger: MemoryLedger,
    private val lastUse: LastUseTimes
) {
    /** The next order that brings [artifact] closer to being resident; null if none helps now. */
    public fun nextOrder(service: String, artifact: String): OrderProposed? {
        val bytes = ArtifactSizes.memoryBytes(index, service, artifact) ?: return null
        val base = index.models[artifact]?.takeIf { it.adapter != null }?.model?.name
        val engines = index.servers(service)
            .filter { index.isAvailable(it) && (base == null || holds(it, base)) }
        if (engines.any { isUnderWay(it, artifact) }) return null
        val withRoom = engines.filter { roomBytes(it) >= bytes }
        val best = withRoom.maxByOrNull { roomBytes(it) }
        if (best != null) return OrderProposed(best.name, OrderKind.LOAD, artifact)
        return nextUnload(engines, bytes, base)
    }

    /**
     * The next order that gives a model of [service] a copy in one more failure domain, for models
     * with copies in fewer than [COPIES]; null if there is none or no room. Nothing is unloaded for
     * this, so that it cannot make models move back and forth.
     */
    public fun nextReplicaOrder(service: String): OrderProposed? = index.models.values
        .filter { it.service == service && it.adapter == null }
        .map { it.model to domainsWith(service, it.model.name) }
        .filter { (_, domains) -> domains.size < COPIES }
        .sortedBy { (_, domains) -> domains.size }
        .firstNotNullOfOrNull { (model, domains) ->
            index.servers(service)
                .filter { index.isAvailable(it) && it.failureDomain !in domains }
                .filter { ledger.find(it.name, model.name) == null }
                .filter { roomBytes(it) >= model.memoryBytes }
                .maxByOrNull { roomBytes(it) }
                ?.let { OrderProposed(it.name, OrderKind.LOAD, model.name) }
        }

    private fun nextUnload(
        engines: List<BackendServer>,
        bytes: Long,
        base: String?
    ): OrderProposed? {
        val possible = engines.filter { it.memoryBytes >= bytes }
        if (possible.any(::hasUnloadUnderWay)) return null
        val victim = possible
            .flatMap { ledger.entries(it.name) }
            .filter { it.residency == Residency.RESIDENT && it.artifact != base }
            .filterNot { it.memoryBytes == 0L || carriesAdapters(it) }
            .minWithOrNull(compareBy({ isOnlyCopy(it) }, { lastUse.lastUsedMillis(it.artifact) }))
            ?: return null
        return OrderProposed(victim.server, OrderKind.UNLOAD, victim.artifact)
    }

    private fun isOnlyCopy(entry: LedgerEntry): Boolean {
        val service = index.server(entry.server)?.service ?: return false
        return index.servers(service).count { holds(it, entry.artifact) } < 2
    }

    private fun domainsWith(service: String, model: String): Set<String> = index.servers(service)
        .filter { index.isAvailable(it) && isUnderWay(it, model) }
        .map { it.failureDomain }
        .toSet()

    private fun hasUnloadUnderWay(server: BackendServer): Boolean =
        ledger.entries(server.name).any { it.residency == Residency.UNLOADING }

    private fun carriesAdapters(entry: LedgerEntry): Boolean = ledger.entries(entry.server).any {
        val model = index.models[it.artifact]
        model?.adapter != null && model.model.name == entry.artifact
    }

    private fun holds(server: BackendServer, artifact: String): Boolean =
        ledger.find(server.name, artifact)?.residency == Residency.RESIDENT

    private fun isUnderWay(server: BackendServer, artifact: String): Boolean =
        ledger.find(server.name, artifact)?.residency in
            setOf(Residency.LOADING, Residency.RESIDENT)

    private fun roomBytes(server: BackendServer): Long =
        server.memoryBytes - ledger.committedBytes(server.name)

    private companion object {
        /** In how many failure domains a model has a copy where memory allows. */
        const val COPIES = 2
    }
}
