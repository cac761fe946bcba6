/*
 * Rebuilds the replicated state from a log whose oldest records may have expired. This needs either
 * the first record of the log or a complete checkpoint; without both there is no state.
 */
package mustarddale.control

import mustarddale.config.ConfigurationFormat
import mustarddale.control.ControlRecord.CheckpointChunk

/** Collects records, from the oldest retained one on, and rebuilds the state from them. */
public class LogReplay {
    private val records = mutableListOf<LogRecord>()
    private val chunks = mutableMapOf<ChunkGroup, List<CheckpointChunk>>()
    private var newestSnapshot: ControlSnapshot? = null

    /** Adds the next [record]; records must be added in offset order. */
    public fun add(record: LogRecord) {
        records.add(record)
        val envelope = try {
            ConfigurationFormat.json.decodeFromString(Envelope.serializer(), record.data)
        } catch (_: IllegalArgumentException) {
            return
        }
        val chunk = envelope.record as? CheckpointChunk ?: return
        val group = ChunkGroup(envelope.writer, chunk.throughOffset, chunk.sha256)
        val received = chunks[group].orEmpty() + chunk
        chunks[group] = received
        val snapshot = ControlSnapshot.fromChunks(received) ?: return
        if (snapshot.nextOffset > (newestSnapshot?.nextOffset ?: -1)) useSnapshot(snapshot)
    }

    /** Returns the state after all added records, null if they do not determine it. */
    public fun rebuildState(): ControlState? {
        val start = newestSnapshot?.toState() ?: initialState() ?: return null
        val tail = records.filter { it.offset >= start.nextOffset }
        if (tail.isNotEmpty() && tail.first().offset != start.nextOffset) return null
        return tail.fold(start) { state, record -> state.fold(record).state }
    }

    /** Returns all records if they start at offset 0 and contain no checkpoint, else null. */
    public fun completeLog(): List<LogRecord>? =
        records.toList().takeIf { newestSnapshot == null && initialState() != null }

    private fun useSnapshot(snapshot: ControlSnapshot) {
        newestSnapshot = snapshot
        records.removeAll { it.offset < snapshot.nextOffset }
        chunks.keys.removeAll { it.throughOffset <= snapshot.nextOffset }
    }

    private fun initialState(): ControlState? =
        ControlState.EMPTY.takeIf { records.isEmpty() || records.first().offset == 0L }

    private data class ChunkGroup(val writer: WriterId, val throughOffset: Long, val sha256: String)
}
