/*
 * Decides which order brings an artifact to an engine. It prefers an engine with room; else it
 * unloads what was used longest ago, but never the last copy of a model that was used of late.
 */
package mustarddale.placement

import mustarddale.config.BackendServer
import mustarddale.config.ConfigurationIndex
import mustarddale.control.ControlRecord.OrderProposed
import mustarddale.memory.Artifacts
import mustarddale.memory.LedgerEntry
import mustarddale.memory.MemoryLedger
import mustarddale.memory.OrderKind
import mustarddale.memory.Residency

/** When each artifact was last asked for here, in milliseconds of the monotonic clock. */
public fun interface LastUse {
    /** The time of the last use of [artifact], null if there was none. */
    public fun millis(artifact: String): Long?
}

/** The placement of artifacts by the agreed [ledger] and the configuration [index]. */
public class Placement(
    private val index: ConfigurationIndex,
    private val ledger: MemoryLedger,
    private val lastUse: LastUse
) {
    /** The next order that brings [artifact] closer to being resident; null if none helps now. */
    public fun nextOrder(service: String, artifact: String): OrderProposed? {
        val bytes = Artifacts.memoryBytes(index, service, artifact) ?: return null
        val base = index.models[artifact]?.takeIf { it.adapter != null }?.model?.name
        val engines = index.servers(service)
            .filter { index.isAvailable(it) && (base == null || holds(it, base)) }
        if (engines.any { isUnderWay(it, artifact) }) return null
        val withRoom = engines.filter { roomBytes(it) >= bytes }
        val best = withRoom.maxByOrNull { roomBytes(it) }
        if (best != null) return OrderProposed(best.name, OrderKind.LOAD, artifact)
        return nextUnload(engines, bytes, base)
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
            .filter {
                it.residency == Residency.RESIDENT && it.artifact != base &&
                    it.memoryBytes > 0
            }
            .filterNot(::carriesAdapters)
            .minByOrNull { lastUse.millis(it.artifact) ?: Long.MIN_VALUE }
            ?: return null
        return OrderProposed(victim.server, OrderKind.UNLOAD, victim.artifact)
    }

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
}
