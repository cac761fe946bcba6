/*
 * Finds the agreed state in a log whose oldest records have aged out: it needs either the log's
 * very first record or a whole checkpoint, and refuses to guess when it finds neither.
 */
package mustarddale.control

import mustarddale.config.ConfigurationFormat
import mustarddale.control.ControlRecord.CheckpointChunk

/** Collects records from the oldest that the log still has until a state can be made of them. */
public class LogReplay {
    private val records = mutableListOf<LogRecord>()
    private val chunks = mutableMapOf<ChunkGroup, List<CheckpointChunk>>()
    private var newest: ControlSnapshot? = null

    /** Takes the next [record], in offset order. */
    public fun add(record: LogRecord) {
        records.add(record)
        val envelope = try {
            ConfigurationFormat.json.decodeFromString(Envelope.serializer(), record.data)
        } catch (_: IllegalArgumentException) {
            return
        }
        val chunk = envelope.record as? CheckpointChunk ?: return
        val group = ChunkGroup(envelope.writer, chunk.throughOffset, chunk.sha256)
        val known = chunks[group].orEmpty() + chunk
        chunks[group] = known
        val snapshot = ControlSnapshot.fromChunks(known) ?: return
        if (snapshot.nextOffset > (newest?.nextOffset ?: -1)) takeSnapshot(snapshot)
    }

    /** Returns the state after all records so far, or null if it cannot be known from them. */
    public fun rebuildState(): ControlState? {
        val start = newest?.toState() ?: startOfLog() ?: return null
        val tail = records.filter { it.offset >= start.nextOffset }
        if (tail.isNotEmpty() && tail.first().offset != start.nextOffset) return null
        return tail.fold(start) { state, record -> state.fold(record).state }
    }

    /** Returns all records if they start with the log's first one and hold no checkpoint. */
    public fun completeLog(): List<LogRecord>? =
        records.toList().takeIf { newest == null && startOfLog() != null }

    private fun takeSnapshot(snapshot: ControlSnapshot) {
        newest = snapshot
        records.removeAll { it.offset < snapshot.nextOffset }
        chunks.keys.removeAll { it.throughOffset <= snapshot.nextOffset }
    }

    private fun startOfLog(): ControlState? =
        ControlState.EMPTY.takeIf { records.isEmpty() || records.first().offset == 0L }

    private data class ChunkGroup(val writer: WriterId, val throughOffset: Long, val sha256: String)
}
