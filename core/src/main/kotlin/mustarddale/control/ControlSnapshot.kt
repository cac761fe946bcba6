/*
 * The serialized form of the replicated state. A checkpoint is split into chunks that fit into log
 * records; a digest over the full text detects a checkpoint whose writer stopped before the end.
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

/** The replicated state before the record at [nextOffset], in serializable form. */
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
    /** The sequence number and log time of the last folded record of [writer]. */
    @Serializable
    public data class WriterLine(
        public val writer: WriterId,
        public val lastSequence: Long,
        public val lastAppendedAtMillis: Long
    )

    /** Restores the state from which this snapshot was made. */
    public fun toState(): ControlState = ControlState(
        nextOffset = nextOffset,
        revision = revision,
        index = ConfigurationIndex(configuration),
        writers = writers.associate { entry ->
            entry.writer to WriterProgress(entry.lastSequence, entry.lastAppendedAtMillis)
        }.toPersistentMap(),
        audit = audit.toPersistentList(),
        slots = SlotTable.of(slots),
        intents = IntentTable.of(intents),
        ledger = MemoryLedger.of(ledger, reports),
        checkpointOffset = nextOffset,
        checkpointAtMillis = lastAppendedAtMillis,
        lastAppendedAtMillis = lastAppendedAtMillis
    )

    /** Splits the snapshot into records with at most [chunkChars] characters of data each. */
    public fun toChunks(chunkChars: Int = MAX_CHUNK_CHARS): List<CheckpointChunk> {
        val text = ConfigurationFormat.json.encodeToString(serializer(), this)
        val parts = text.chunked(chunkChars)
        val sha256 = Sha256.of(text)
        return parts.mapIndexed { index, part ->
            CheckpointChunk(nextOffset, index, parts.size, sha256, part)
        }
    }

    public companion object {
        private const val MAX_CHUNK_CHARS = 64 * 1_024

        /** Creates a snapshot of [state]. */
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

        /** Decodes the [chunks] of a checkpoint, null if any is missing or the digest differs. */
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
