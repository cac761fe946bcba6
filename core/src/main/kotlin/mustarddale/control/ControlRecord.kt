/*
 * The records of the control log, the platform log through which instances replicate their shared
 * state. Each record is wrapped in an Envelope, whose writer and sequence number let readers drop a
 * record that was appended twice.
 */
package mustarddale.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import mustarddale.config.ConfigurationChange
import mustarddale.idempotency.StoredAnswer
import mustarddale.memory.HeldArtifact
import mustarddale.memory.OrderKind
import mustarddale.memory.ReportNumber
import mustarddale.rate.SlotClaim

/**
 * A raw record as read from the log service.
 *
 * @property appendedAtMillis when the log service stored the record, by the log's clock.
 * @property data an encoded [Envelope].
 */
@Serializable
public data class LogRecord(
    public val offset: Long,
    public val appendedAtMillis: Long,
    public val data: String
)

/** Identifies one run of an instance; [incarnation] differs after each restart. */
@Serializable
public data class WriterId(public val instance: String, public val incarnation: String)

/** A record with its writer and the writer's [sequence] number, which increases from 1. */
@Serializable
public data class Envelope(
    public val writer: WriterId,
    public val sequence: Long,
    public val record: ControlRecord
)

/** The content of a control log record. */
@Serializable
public sealed interface ControlRecord {
    /** An operator requests [change]; it is refused unless [baseRevision], if set, is current. */
    @Serializable
    @SerialName("changeProposed")
    public data class ChangeProposed(
        public val operator: String,
        public val baseRevision: Long?,
        public val change: ConfigurationChange
    ) : ControlRecord

    /** The writer claims rate slots, which divide rate limits between instances. */
    @Serializable
    @SerialName("slotsClaimed")
    public data class SlotsClaimed(public val claims: List<SlotClaim>) : ControlRecord

    /** The writer renews the lease on all slots that it holds. */
    @Serializable
    @SerialName("slotsRenewed")
    public data object SlotsRenewed : ControlRecord

    /** The writer releases slots that it has stopped using. */
    @Serializable
    @SerialName("slotsReleased")
    public data class SlotsReleased(public val slots: List<Int>) : ControlRecord

    /**
     * The writer is about to send a call that must not run twice.
     *
     * @property bodyDigest the digest of method, target and body of the call.
     * @property keyTimeMillis the time in the caller's idempotency key, null if it carries none.
     */
    @Serializable
    @SerialName("intentOpened")
    public data class IntentOpened(
        public val intentId: String,
        public val bodyDigest: String,
        public val keyTimeMillis: Long?
    ) : ControlRecord

    /** The writer received the response to its call. */
    @Serializable
    @SerialName("intentSettled")
    public data class IntentSettled(public val intentId: String, public val answer: StoredAnswer) :
        ControlRecord

    /** The writer did not send its call and will not send it. */
    @Serializable
    @SerialName("intentAbandoned")
    public data class IntentAbandoned(public val intentId: String) : ControlRecord

    /** The writer proposes an order to an engine; it is sent only once the ledger accepts it. */
    @Serializable
    @SerialName("orderProposed")
    public data class OrderProposed(
        public val server: String,
        public val kind: OrderKind,
        public val artifact: String
    ) : ControlRecord

    /**
     * An engine accepted or refused the order recorded at [orderOffset].
     *
     * @property takenAfter the last report that the engine made before it accepted the order, null
     *   if it refused the order.
     */
    @Serializable
    @SerialName("orderAnswered")
    public data class OrderAnswered(
        public val server: String,
        public val artifact: String,
        public val orderOffset: Long,
        public val takenAfter: ReportNumber?
    ) : ControlRecord

    /**
     * The memory contents that a load report of an engine showed.
     *
     * @property appliedFence the fencing token of the last order that the engine accepted.
     * @property held artifacts that occupy memory, loaded or still loading.
     */
    @Serializable
    @SerialName("residencyObserved")
    public data class ResidencyObserved(
        public val server: String,
        public val number: ReportNumber,
        public val appliedFence: Long,
        public val held: List<HeldArtifact>
    ) : ControlRecord

    /**
     * One of [count] parts of a checkpoint of the state that precedes [throughOffset].
     *
     * @property index the position of this part, from 0.
     * @property sha256 the digest of the complete checkpoint.
     */
    @Serializable
    @SerialName("checkpointChunk")
    public data class CheckpointChunk(
        public val throughOffset: Long,
        public val index: Int,
        public val count: Int,
        public val sha256: String,
        public val data: String
    ) : ControlRecord
}
