/*
 * The state that all instances agree on, folded from the control log in offset order. The fold is
 * deterministic: it looks at nothing but the state and the record, so each replica reaches the same
 * verdict on each record, and two racing writers get one winner.
 */
package mustarddale.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.SerializationException
import mustarddale.config.Configuration
import mustarddale.config.ConfigurationFormat
import mustarddale.config.ConfigurationIndex
import mustarddale.control.ControlRecord.ChangeProposed
import mustarddale.control.ControlRecord.CheckpointChunk
import mustarddale.control.ControlRecord.IntentAbandoned
import mustarddale.control.ControlRecord.IntentOpened
import mustarddale.control.ControlRecord.IntentSettled
import mustarddale.control.ControlRecord.OrderAnswered
import mustarddale.control.ControlRecord.OrderProposed
import mustarddale.control.ControlRecord.ResidencyObserved
import mustarddale.control.ControlRecord.SlotsClaimed
import mustarddale.control.ControlRecord.SlotsReleased
import mustarddale.control.ControlRecord.SlotsRenewed
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.Refusal
import mustarddale.error.flatMap
import mustarddale.idempotency.IntentTable
import mustarddale.memory.MemoryLedger
import mustarddale.rate.SlotClaim
import mustarddale.rate.SlotTable

/** What the fold made of a record. */
public sealed interface RecordStatus {
    /** The record took effect. */
    public data object Accepted : RecordStatus

    /** The record took no effect and never will. */
    public data class Rejected(public val refusal: Refusal) : RecordStatus

    /** The record repeats one that was folded before, or comes behind a later one. */
    public data object Duplicate : RecordStatus

    /** The record cannot be read; readers of every version skip it. */
    public data object Unreadable : RecordStatus
}

/** The state after a record, with the verdict on it. */
public data class FoldResult(
    public val state: ControlState,
    public val status: RecordStatus,
    public val envelope: Envelope?
)

/** The last record of a writer that was folded. */
public data class WriterProgress(
    public val lastSequence: Long,
    public val lastAppendedAtMillis: Long
)

/**
 * The agreed state before the record at [nextOffset].
 *
 * @property revision counts the accepted changes of the configuration.
 * @property checkpointOffset where the newest whole checkpoint ends, 0 if there is none.
 * @property checkpointAtMillis when the log took it.
 */
public data class ControlState(
    public val nextOffset: Long,
    public val revision: Long,
    public val index: ConfigurationIndex,
    public val writers: PersistentMap<WriterId, WriterProgress>,
    public val audit: PersistentList<AuditEntry>,
    public val slots: SlotTable,
    public val intents: IntentTable,
    public val ledger: MemoryLedger,
    public val checkpointOffset: Long,
    public val checkpointAtMillis: Long,
    public val lastAppendedAtMillis: Long
) {
    /** Folds [record], which must be the next one. */
    public fun fold(record: LogRecord): FoldResult {
        require(record.offset == nextOffset) { "expected $nextOffset, got ${record.offset}" }
        val logTimeMillis = maxOf(lastAppendedAtMillis, record.appendedAtMillis)
        val moved = copy(nextOffset = record.offset + 1, lastAppendedAtMillis = logTimeMillis)
        val envelope =
            decode(record.data) ?: return FoldResult(moved, RecordStatus.Unreadable, null)
        if (envelope.sequence <= (writers[envelope.writer]?.lastSequence ?: 0)) {
            return FoldResult(moved, RecordStatus.Duplicate, envelope)
        }
        val counted = moved.countWriter(envelope)
        return counted.apply(envelope, record.offset)
    }

    private fun countWriter(envelope: Envelope): ControlState {
        val now = lastAppendedAtMillis
        val progress = WriterProgress(envelope.sequence, now)
        val isNew = envelope.writer !in writers
        val next = writers.put(envelope.writer, progress)
        if (!isNew) return copy(writers = next)
        val kept = next.filterValues { now - it.lastAppendedAtMillis < WRITER_KEPT_MILLIS }
        return copy(writers = kept.toPersistentMap())
    }

    private fun apply(envelope: Envelope, offset: Long): FoldResult {
        val writer = envelope.writer
        val now = lastAppendedAtMillis
        return when (val record = envelope.record) {
            is ChangeProposed -> applyChange(envelope, record, offset)

            is SlotsClaimed -> {
                val claimed = slots.claim(knownSlots(record.claims), writer, offset)
                result(claimed?.let { copy(slots = it) }, envelope, "slots are held")
            }

            is SlotsRenewed -> accepted(copy(slots = slots.renew(writer, offset)), envelope)

            is SlotsReleased ->
                accepted(copy(slots = slots.release(record.slots, writer, offset)), envelope)

            is IntentOpened -> verdict(
                intents.open(record, writer, now, index.configuration.limits),
                envelope
            ) { copy(intents = it) }

            is IntentSettled ->
                accepted(copy(intents = intents.settle(record, writer)), envelope)

            is IntentAbandoned ->
                accepted(copy(intents = intents.abandon(record.intentId, writer)), envelope)

            is OrderProposed -> verdict(
                ledger.proposeOrder(record, index, offset, now),
                envelope
            ) { copy(ledger = it) }

            is OrderAnswered -> accepted(copy(ledger = ledger.applyOrderAnswer(record)), envelope)

            is ResidencyObserved ->
                accepted(copy(ledger = ledger.applyReport(record, index)), envelope)

            is CheckpointChunk -> accepted(countCheckpoint(record), envelope)
        }
    }

    private fun applyChange(envelope: Envelope, record: ChangeProposed, offset: Long): FoldResult {
        val based = record.baseRevision
        val change = record.change
        val outcome = when {
            based == null && change.needsBaseRevision ->
                refuseChange(ErrorKind.INVALID_REQUEST, "baseRevision: is needed")

            based != null && based != revision -> refuseChange(
                ErrorKind.REVISION_CONFLICT,
                "baseRevision: $based is not the newest, which is $revision"
            )

            else -> change.applyTo(index.configuration).flatMap(::keepsFixedLimits)
        }
        val refusal = (outcome as? Outcome.Failure)?.refusal
        val entry = AuditEntry(
            offset = offset,
            atMillis = lastAppendedAtMillis,
            operator = record.operator,
            instance = envelope.writer.instance,
            baseRevision = based,
            revision = if (refusal == null) revision + 1 else null,
            change = AuditEntry.summary(change),
            refusedBecause = refusal?.message
        )
        val noted = copy(audit = (audit + entry).keepLast(AUDIT_KEPT))
        return when (outcome) {
            is Outcome.Failure -> FoldResult(
                noted,
                RecordStatus.Rejected(outcome.refusal),
                envelope
            )

            is Outcome.Success -> {
                val next = ConfigurationIndex(outcome.value)
                accepted(noted.copy(revision = revision + 1, index = next), envelope)
            }
        }
    }

    /** Holders and claimants of slots must never disagree on these. */
    private fun keepsFixedLimits(next: Configuration): Outcome<Configuration> {
        val before = index.configuration.limits
        val after = next.limits
        val field = when {
            revision == 0L -> null
            after.rateSlots != before.rateSlots -> "limits.rateSlots"
            after.slotLeaseMillis != before.slotLeaseMillis -> "limits.slotLeaseMillis"
            else -> null
        }
        if (field == null) return Outcome.Success(next)
        val message = "$field: cannot be changed once it is in force"
        return Outcome.Failure(Refusal(ErrorKind.INVALID_REQUEST, message, field))
    }

    /** Before there is a configuration nobody knows how many slots there are. */
    private fun knownSlots(claims: List<SlotClaim>): List<SlotClaim> {
        val rateSlots = if (revision == 0L) 0 else index.configuration.limits.rateSlots
        return claims.filter { it.slot in 0 until rateSlots }
    }

    private fun countCheckpoint(chunk: CheckpointChunk): ControlState =
        if (chunk.index == chunk.count - 1) {
            copy(
                checkpointOffset = chunk.throughOffset,
                checkpointAtMillis = lastAppendedAtMillis
            )
        } else {
            this
        }

    private fun accepted(state: ControlState, envelope: Envelope): FoldResult =
        FoldResult(state, RecordStatus.Accepted, envelope)

    private fun result(state: ControlState?, envelope: Envelope, reason: String): FoldResult =
        if (state != null) {
            accepted(state, envelope)
        } else {
            val refusal = Refusal(ErrorKind.REVISION_CONFLICT, reason)
            FoldResult(this, RecordStatus.Rejected(refusal), envelope)
        }

    private inline fun <T> verdict(
        outcome: Outcome<T>,
        envelope: Envelope,
        next: (T) -> ControlState
    ): FoldResult = when (outcome) {
        is Outcome.Success -> accepted(next(outcome.value), envelope)
        is Outcome.Failure -> FoldResult(this, RecordStatus.Rejected(outcome.refusal), envelope)
    }

    public companion object {
        private const val AUDIT_KEPT = 200

        /** Longer than any append can stay under way. */
        private const val WRITER_KEPT_MILLIS = 24 * 60 * 60_000L

        /** The state before the first record. */
        public val EMPTY: ControlState = ControlState(
            nextOffset = 0,
            revision = 0,
            index = ConfigurationIndex(Configuration()),
            writers = persistentMapOf(),
            audit = persistentListOf(),
            slots = SlotTable(),
            intents = IntentTable(),
            ledger = MemoryLedger(),
            checkpointOffset = 0,
            checkpointAtMillis = 0,
            lastAppendedAtMillis = 0
        )

        /** Writes [envelope] in the form that it has in the log. */
        public fun encode(envelope: Envelope): String =
            ConfigurationFormat.json.encodeToString(Envelope.serializer(), envelope)

        private fun decode(data: String): Envelope? = try {
            ConfigurationFormat.json.decodeFromString(Envelope.serializer(), data)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}

private fun refuseChange(kind: ErrorKind, message: String): Outcome.Failure =
    Outcome.Failure(Refusal(kind, message, "baseRevision"))

private fun <T> PersistentList<T>.keepLast(count: Int): PersistentList<T> =
    if (size <= count) this else removeAt(0)

private operator fun <T> PersistentList<T>.plus(element: T): PersistentList<T> = add(element)
