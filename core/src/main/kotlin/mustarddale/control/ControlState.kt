/*
 * The state that all instances replicate by folding the records of the control log in offset order.
 * The fold depends only on the state and the record, so every instance accepts and rejects the same
 * records, and of two racing writers exactly one wins.
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

/** Whether a folded record took effect. */
public sealed interface RecordStatus {
    /** The record took effect. */
    public data object Accepted : RecordStatus

    /** The record was refused and has no effect. */
    public data class Rejected(public val refusal: Refusal) : RecordStatus

    /** The sequence number is not above the writer's last one: a repeated or overtaken record. */
    public data object Duplicate : RecordStatus

    /** The record cannot be decoded; every instance skips it. */
    public data object Unreadable : RecordStatus
}

/** The state after a record, with the record's status and decoded envelope. */
public data class FoldResult(
    public val state: ControlState,
    public val status: RecordStatus,
    public val envelope: Envelope?
)

/** The sequence number and log time of the last folded record of a writer. */
public data class WriterProgress(
    public val lastSequence: Long,
    public val lastAppendedAtMillis: Long
)

/**
 * The replicated state before the record at [nextOffset].
 *
 * @property revision the number of accepted configuration changes.
 * @property checkpointOffset the newest checkpoint replaces all records before this offset; 0 if
 *   there is none.
 * @property checkpointAtMillis log time of the last chunk of that checkpoint.
 * @property lastAppendedAtMillis the log time: the latest append time so far; it never goes back.
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
    /** Applies [record]; throws IllegalArgumentException if it is not the next one. */
    public fun fold(record: LogRecord): FoldResult {
        require(record.offset == nextOffset) { "expected offset $nextOffset, got ${record.offset}" }
        val logTimeMillis = maxOf(lastAppendedAtMillis, record.appendedAtMillis)
        val advanced = copy(nextOffset = record.offset + 1, lastAppendedAtMillis = logTimeMillis)
        val envelope =
            decode(record.data) ?: return FoldResult(advanced, RecordStatus.Unreadable, null)
        if (envelope.sequence <= (writers[envelope.writer]?.lastSequence ?: 0)) {
            return FoldResult(advanced, RecordStatus.Duplicate, envelope)
        }
        val tracked = advanced.trackWriter(envelope)
        return tracked.apply(envelope, record.offset)
    }

    private fun trackWriter(envelope: Envelope): ControlState {
        val logTimeMillis = lastAppendedAtMillis
        val progress = WriterProgress(envelope.sequence, logTimeMillis)
        val isNew = envelope.writer !in writers
        val next = writers.put(envelope.writer, progress)
        if (!isNew) return copy(writers = next)
        val retained = next
            .filterValues { logTimeMillis - it.lastAppendedAtMillis < WRITER_RETENTION_MILLIS }
        return copy(writers = retained.toPersistentMap())
    }

    private fun apply(envelope: Envelope, offset: Long): FoldResult {
        val writer = envelope.writer
        val logTimeMillis = lastAppendedAtMillis
        return when (val record = envelope.record) {
            is ChangeProposed -> applyChange(envelope, record, offset)

            is SlotsClaimed -> {
                val claimed = slots.claim(configuredSlots(record.claims), writer, offset)
                acceptIfPresent(
                    claimed?.let { copy(slots = it) },
                    envelope,
                    "the slots were renewed since they were read"
                )
            }

            is SlotsRenewed -> accepted(copy(slots = slots.renew(writer, offset)), envelope)

            is SlotsReleased ->
                accepted(copy(slots = slots.release(record.slots, writer, offset)), envelope)

            is IntentOpened -> folded(
                intents.open(record, writer, logTimeMillis, index.configuration.limits),
                envelope
            ) { copy(intents = it) }

            is IntentSettled ->
                accepted(copy(intents = intents.settle(record, writer)), envelope)

            is IntentAbandoned ->
                accepted(copy(intents = intents.abandon(record.intentId, writer)), envelope)

            is OrderProposed -> folded(
                ledger.proposeOrder(record, index, offset, logTimeMillis),
                envelope
            ) { copy(ledger = it) }

            is OrderAnswered -> accepted(copy(ledger = ledger.applyOrderAnswer(record)), envelope)

            is ResidencyObserved ->
                accepted(copy(ledger = ledger.applyReport(record, index)), envelope)

            is CheckpointChunk -> accepted(recordCheckpoint(record), envelope)
        }
    }

    private fun applyChange(envelope: Envelope, record: ChangeProposed, offset: Long): FoldResult {
        val base = record.baseRevision
        val change = record.change
        val outcome = when {
            base == null && change.needsBaseRevision ->
                refuseChange(ErrorKind.INVALID_REQUEST, "baseRevision: is required for this change")

            base != null && base != revision -> refuseChange(
                ErrorKind.REVISION_CONFLICT,
                "baseRevision: $base is not the current revision, $revision"
            )

            else -> change.applyTo(index.configuration).flatMap(::checkFixedLimits)
        }
        val refusal = (outcome as? Outcome.Failure)?.refusal
        val entry = AuditEntry(
            offset = offset,
            atMillis = lastAppendedAtMillis,
            operator = record.operator,
            instance = envelope.writer.instance,
            baseRevision = base,
            revision = if (refusal == null) revision + 1 else null,
            change = AuditEntry.summary(change),
            refusedBecause = refusal?.message
        )
        val audited = copy(audit = (audit + entry).keepLast(MAX_AUDIT_ENTRIES))
        return when (outcome) {
            is Outcome.Failure -> FoldResult(
                audited,
                RecordStatus.Rejected(outcome.refusal),
                envelope
            )

            is Outcome.Success -> {
                val next = ConfigurationIndex(outcome.value)
                accepted(audited.copy(revision = revision + 1, index = next), envelope)
            }
        }
    }

    /** Rejects changes of limits on which slot holders and claimants must always agree. */
    private fun checkFixedLimits(next: Configuration): Outcome<Configuration> {
        val before = index.configuration.limits
        val after = next.limits
        val field = when {
            revision == 0L -> null
            after.rateSlots != before.rateSlots -> "limits.rateSlots"
            after.slotLeaseMillis != before.slotLeaseMillis -> "limits.slotLeaseMillis"
            else -> null
        }
        if (field == null) return Outcome.Success(next)
        val message = "$field: cannot be changed after the first configuration"
        return Outcome.Failure(Refusal(ErrorKind.INVALID_REQUEST, message, field))
    }

    /** Drops claims of slots that do not exist; without a configuration there are none. */
    private fun configuredSlots(claims: List<SlotClaim>): List<SlotClaim> {
        val rateSlots = if (revision == 0L) 0 else index.configuration.limits.rateSlots
        return claims.filter { it.slot in 0 until rateSlots }
    }

    private fun recordCheckpoint(chunk: CheckpointChunk): ControlState =
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

    private fun acceptIfPresent(
        state: ControlState?,
        envelope: Envelope,
        reason: String
    ): FoldResult = if (state != null) {
        accepted(state, envelope)
    } else {
        val refusal = Refusal(ErrorKind.REVISION_CONFLICT, reason)
        FoldResult(this, RecordStatus.Rejected(refusal), envelope)
    }

    private inline fun <T> folded(
        outcome: Outcome<T>,
        envelope: Envelope,
        next: (T) -> ControlState
    ): FoldResult = when (outcome) {
        is Outcome.Success -> accepted(next(outcome.value), envelope)
        is Outcome.Failure -> FoldResult(this, RecordStatus.Rejected(outcome.refusal), envelope)
    }

    public companion object {
        /** Bounds the size of the state and of the checkpoints, which contain the audit entries. */
        private const val MAX_AUDIT_ENTRIES = 200

        /** No append is delayed for as long, so a forgotten writer cannot repeat a record. */
        private const val WRITER_RETENTION_MILLIS = 24 * 60 * 60_000L

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

        /** Encodes [envelope] as the data of a log record. */
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
