/*
 * The checkpoint form of the agreed state. It is cut into chunks that fit the log's records; the
 * digest over the whole lets a reader tell a whole checkpoint from one whose writer died half-way.
 */
package mustarddale.control

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import mustarddale.config.Configuration
import mustarddale.config.ConfigurationFormat
import mustarddale.config.ConfigurationIndex
import mustarddale.control.ControlRecord.CheckpointChunk
import mustarddale.idempotency.Intent
import mustarddale.idempotency.IntentTable
import mustarddale.key.Sha256
import mustarddale.memory.LedgerEntry
import mustarddale.memory.MemoryLedger
import mustarddale.memory.ReportMark
import mustarddale.rate.SlotEntry
import mustarddale.rate.SlotTable

/** The agreed state before [nextOffset] as plain lists. */
@Serializable
public data class ControlSnapshot(
    public val nextOffset: Long,
    public val revision: Long,
    public val configuration: Configuration,
    public val writers: List<WriterLine>,
    public val audit: List<AuditEntry>,
    public val slots: List<SlotEntry>,
    public val intents: List<Intent>,
    public val ledger: List<LedgerEntry>,
    public val reports: List<ReportMark>,
    public val lastAppendedAtMillis: Long
) {
    /** One writer with its progress. */
    @Serializable
    public data class WriterLine(
        public val writer: WriterId,
        public val lastSequence: Long,
        public val lastAppendedAtMillis: Long
    )

    /** Returns the state that this is the snapshot of. */
    public fun toState(): ControlState = ControlState(
        nextOffset = nextOffset,
        revision = revision,
        index = ConfigurationIndex(configuration),
        writers = writers.associate { line ->
            line.writer to WriterProgress(line.lastSequence, line.lastAppendedAtMillis)
        }.toPersistentMap(),
        audit = audit.toPersistentList(),
        slots = SlotTable.of(slots),
        intents = IntentTable.of(intents),
        ledger = MemoryLedger.of(ledger, reports),
        checkpointOffset = nextOffset,
        checkpointAtMillis = lastAppendedAtMillis,
        lastAppendedAtMillis = lastAppendedAtMillis
    )

    /** Cuts this into records of at most [chunkChars] characters of data. */
    public fun toChunks(chunkChars: Int = CHUNK_CHARS): List<CheckpointChunk> {
        val text = ConfigurationFormat.json.encodeToString(serializer(), this)
        val parts = text.chunked(chunkChars)
        val sha256 = Sha256.of(text)
        return parts.mapIndexed { at, part ->
            CheckpointChunk(nextOffset, at, parts.size, sha256, part)
        }
    }

    public companion object {
        private const val CHUNK_CHARS = 64 * 1_024

        /** Takes the snapshot of [state]. */
        public fun of(state: ControlState): ControlSnapshot = ControlSnapshot(
            nextOffset = state.nextOffset,
            revision = state.revision,
            configuration = state.index.configuration,
            writers = state.writers.map { (writer, progress) ->
                WriterLine(writer, progress.lastSequence, progress.lastAppendedAtMillis)
            },
            audit = state.audit,
            slots = state.slots.entries(),
            intents = state.intents.entries(),
            ledger = state.ledger.entries(),
            reports = state.ledger.reports(),
            lastAppendedAtMillis = state.lastAppendedAtMillis
        )

        /** Joins [chunks] of one checkpoint; null unless they are whole and their digest fits. */
        public fun fromChunks(chunks: List<CheckpointChunk>): ControlSnapshot? {
            val count = chunks.firstOrNull()?.count ?: return null
            val ordered = chunks.distinctBy { it.index }.sortedBy { it.index }
            if (ordered.size != count) return null
            val text = ordered.joinToString("") { it.data }
            if (Sha256.of(text) != ordered.first().sha256) return null
            return ConfigurationFormat.json.decodeFromString(serializer(), text)
        }
    }
}
