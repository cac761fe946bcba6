/*
 * What instances write into the platform's log. Each record is carried in an Envelope, whose writer
 * and sequence number let every reader drop a record that was appended twice.
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

/** A record as the log service hands it out. */
@Serializable
public data class LogRecord(
    public val offset: Long,
    public val appendedAtMillis: Long,
    public val data: String
)

/** One run of one instance; a restarted instance is a new writer. */
@Serializable
public data class WriterId(public val instance: String, public val incarnation: String)

/** A record with the writer and the sequence number that identify it. */
@Serializable
public data class Envelope(
    public val writer: WriterId,
    public val sequence: Long,
    public val record: ControlRecord
)

/** A record of the control log. */
@Serializable
public sealed interface ControlRecord {
    /** An operator asks for [change], based on [baseRevision]. */
    @Serializable
    @SerialName("changeProposed")
    public data class ChangeProposed(
        public val operator: String,
        public val baseRevision: Long?,
        public val change: ConfigurationChange
    ) : ControlRecord

    /** The writer claims rate slots. */
    @Serializable
    @SerialName("slotsClaimed")
    public data class SlotsClaimed(public val claims: List<SlotClaim>) : ControlRecord

    /** The writer renews the lease of all slots that it holds. */
    @Serializable
    @SerialName("slotsRenewed")
    public data object SlotsRenewed : ControlRecord

    /** The writer gives slots back and no longer uses them. */
    @Serializable
    @SerialName("slotsReleased")
    public data class SlotsReleased(public val slots: List<Int>) : ControlRecord

    /** The writer wants to send a non-repeatable call. */
    @Serializable
    @SerialName("intentOpened")
    public data class IntentOpened(
        public val intentId: String,
        public val bodyDigest: String,
        public val keyTimeMillis: Long?
    ) : ControlRecord

    /** The writer has the answer to its call. */
    @Serializable
    @SerialName("intentSettled")
    public data class IntentSettled(public val intentId: String, public val answer: StoredAnswer) :
        ControlRecord

    /** The writer has not sent its call and never will. */
    @Serializable
    @SerialName("intentAbandoned")
    public data class IntentAbandoned(public val intentId: String) : ControlRecord

    /** The writer wants to send an order to an engine. */
    @Serializable
    @SerialName("orderProposed")
    public data class OrderProposed(
        public val server: String,
        public val kind: OrderKind,
        public val artifact: String
    ) : ControlRecord

    /**
     * An engine has taken the order whose record stands at [orderOffset], or refused it.
     *
     * @property takenAfter the engine's last report before it took the order, null if it refused.
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
     * What a load report of an engine showed in its memory, loaded or being loaded.
     *
     * @property appliedFence the number of the last order that the engine took.
     */
    @Serializable
    @SerialName("residencyObserved")
    public data class ResidencyObserved(
        public val server: String,
        public val number: ReportNumber,
        public val appliedFence: Long,
        public val held: List<HeldArtifact>
    ) : ControlRecord

    /** A part of a checkpoint of the state before [throughOffset]. */
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
