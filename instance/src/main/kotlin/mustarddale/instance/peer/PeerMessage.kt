package mustarddale.instance.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import mustarddale.control.LogRecord

/** What instances say to each other; each message is one CBOR frame. */
@Serializable
public sealed interface PeerMessage {
    /**
     * Opens a connection, and is repeated.
     *
     * @property logAgeMillis how old the sender's evidence is that it knows the log's end.
     */
    @Serializable
    @SerialName("heartbeat")
    public data class Heartbeat(
        public val instance: String,
        public val nextOffset: Long,
        public val logAgeMillis: Long
    ) : PeerMessage

    /** Records of the log that the receiver lacks. */
    @Serializable
    @SerialName("records")
    public data class Records(public val records: List<LogRecord>) : PeerMessage

    /** A part of the agreed state, for a receiver that lacks more than records can tell. */
    @Serializable
    @SerialName("snapshot")
    public data class Snapshot(
        public val throughOffset: Long,
        public val index: Int,
        public val count: Int,
        public val sha256: String,
        public val data: String
    ) : PeerMessage

    /** Asks for up to [tokens] of [account]. */
    @Serializable
    @SerialName("tokensWanted")
    public data class TokensWanted(
        public val requestId: Long,
        public val account: String,
        public val tokens: Double
    ) : PeerMessage

    /** Gives [tokens], which the sender has already taken out. */
    @Serializable
    @SerialName("tokensGiven")
    public data class TokensGiven(public val requestId: Long, public val tokens: Double) :
        PeerMessage

    /** Asks for a cold-start permit for [server]. */
    @Serializable
    @SerialName("permitWanted")
    public data class PermitWanted(public val requestId: Long, public val server: String) :
        PeerMessage

    /** Lends the permit, or not. */
    @Serializable
    @SerialName("permitAnswered")
    public data class PermitAnswered(public val requestId: Long, public val isLent: Boolean) :
        PeerMessage

    /** Gives a permit for [server] back. */
    @Serializable
    @SerialName("permitReturned")
    public data class PermitReturned(public val server: String) : PeerMessage
}
