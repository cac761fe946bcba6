package mustarddale.instance.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import mustarddale.control.LogRecord

/** A message between two instances, sent as one CBOR frame. */
@Serializable
public sealed interface PeerMessage {
    /**
     * The first message of a connection, repeated at a fixed interval.
     *
     * @property nextOffset the offset after the last log record that the sender has applied.
     * @property logAgeMillis the time since the send of the last read that reached the log's end.
     */
    @Serializable
    @SerialName("heartbeat")
    public data class Heartbeat(
        public val instance: String,
        public val nextOffset: Long,
        public val logAgeMillis: Long
    ) : PeerMessage

    /** Log records that the receiver is missing. */
    @Serializable
    @SerialName("records")
    public data class Records(public val records: List<LogRecord>) : PeerMessage

    /**
     * One part of a snapshot of the control state, for a receiver that lacks records which the
     * sender no longer keeps.
     *
     * @property throughOffset the offset after the last log record that the snapshot includes.
     * @property index the index of this part, from 0.
     * @property count the number of parts.
     * @property sha256 the digest of the whole snapshot, which identifies it.
     */
    @Serializable
    @SerialName("snapshot")
    public data class Snapshot(
        public val throughOffset: Long,
        public val index: Int,
        public val count: Int,
        public val sha256: String,
        public val data: String
    ) : PeerMessage

    /** Requests up to [tokens] of [account]. */
    @Serializable
    @SerialName("tokensWanted")
    public data class TokensWanted(
        public val requestId: Long,
        public val account: String,
        public val tokens: Double
    ) : PeerMessage

    /** Grants [tokens], which the sender has already withdrawn from its own bucket. */
    @Serializable
    @SerialName("tokensGiven")
    public data class TokensGiven(public val requestId: Long, public val tokens: Double) :
        PeerMessage

    /** Requests a permit for one request to [server] during its cold start. */
    @Serializable
    @SerialName("permitWanted")
    public data class PermitWanted(public val requestId: Long, public val server: String) :
        PeerMessage

    /** Answers a permit request; [isLent] says whether the permit is lent. */
    @Serializable
    @SerialName("permitAnswered")
    public data class PermitAnswered(public val requestId: Long, public val isLent: Boolean) :
        PeerMessage

    /** Returns a borrowed permit for [server]. */
    @Serializable
    @SerialName("permitReturned")
    public data class PermitReturned(public val server: String) : PeerMessage
}
