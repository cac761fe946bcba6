package mustarddale.instance.peer

import mustarddale.control.LogRecord

/** What a peer connection needs of the instance that it belongs to. */
public interface PeerHandler {
    /** The offset after the last record that this instance has folded. */
    public fun nextOffset(): Long

    /** How old this instance's own evidence is that it knows the log's end. */
    public fun logAgeMillis(): Long

    /** Takes in a heartbeat. */
    public fun heard(heartbeat: PeerMessage.Heartbeat)

    /** Messages that bring a peer from [fromOffset] up to date. */
    public fun newsSince(fromOffset: Long): List<PeerMessage>

    /** Takes in records that a peer sent. */
    public fun take(records: List<LogRecord>)

    /** Takes in a part of a snapshot that a peer sent. */
    public fun take(part: PeerMessage.Snapshot)

    /** Takes tokens out for a peer. */
    public suspend fun give(account: String, tokens: Double): Double

    /** Lends a cold-start permit to a peer. */
    public suspend fun lend(server: String): Boolean

    /** Takes a permit back. */
    public fun returned(server: String)
}
