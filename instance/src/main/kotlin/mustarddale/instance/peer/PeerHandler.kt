package mustarddale.instance.peer

import mustarddale.control.LogRecord

/** Operations of the local instance that a peer connection calls. */
public interface PeerHandler {
    /** Returns the offset after the last log record that this instance has applied. */
    public fun nextOffset(): Long

    /** Returns the time since this instance sent its last read that reached the log's end. */
    public fun logAgeMillis(): Long

    /** Handles a heartbeat of a peer. */
    public fun handleHeartbeat(heartbeat: PeerMessage.Heartbeat)

    /** Returns the messages that bring a peer from [fromOffset] up to date. */
    public fun updatesSince(fromOffset: Long): List<PeerMessage>

    /** Applies log records that a peer sent. */
    public fun handleRecords(records: List<LogRecord>)

    /** Handles one part of a snapshot that a peer sent. */
    public fun handleSnapshotPart(part: PeerMessage.Snapshot)

    /** Withdraws up to [tokens] of [account] for a peer; returns the number withdrawn. */
    public suspend fun withdrawTokens(account: String, tokens: Double): Double

    /** Lends a peer a permit for a request to the cold [server]; false if none is free. */
    public suspend fun lendPermit(server: String): Boolean

    /** Takes back a permit for [server] that was lent to a peer. */
    public fun handlePermitReturned(server: String)
}
