/*
 * Which connections of clients are closed, and when. A client that makes the least progress is
 * never closed for its speed, and a connection whose request is being served is never closed to
 * make room.
 */
package mustarddale.serving.connection

/** Why a connection was closed. */
public enum class CloseReason(public val code: String) {
    HEAD_TOO_SLOW("head_too_slow"),
    BODY_TOO_SLOW("body_too_slow"),
    READS_TOO_SLOWLY("reads_too_slowly"),
    SENDS_NOTHING("sends_nothing"),
    TOO_MANY_FIELDS("too_many_fields"),
    TOO_MANY_TRAILERS("too_many_trailers"),
    TOO_MANY_CONNECTIONS("too_many_connections"),
    TOO_MUCH_HELD("too_much_held"),
    CODING_UNKNOWN("coding_unknown"),
    FRAMING_HOP_BY_HOP("framing_hop_by_hop")
}

/** Decides on the connections of clients. */
public object ConnectionPolicy {
    /**
     * Returns why the connection with [usage] has to be closed, null if it may stay.
     *
     * @param headTimeoutMillis how long the operators let a client take for a head.
     */
    public fun overdue(
        usage: ConnectionUsage,
        limits: ConnectionLimits,
        headTimeoutMillis: Long
    ): CloseReason? {
        val headMillis = maxOf(limits.headMillis, headTimeoutMillis + HEAD_GRACE_MILLIS)
        return when (usage.activity) {
            ConnectionActivity.HEAD ->
                CloseReason.HEAD_TOO_SLOW.takeIf { usage.activityMillis > headMillis }

            ConnectionActivity.BODY ->
                CloseReason.BODY_TOO_SLOW.takeIf { usage.windowMillis > limits.bodyWindowMillis }

            ConnectionActivity.READING ->
                CloseReason.READS_TOO_SLOWLY.takeIf {
                    usage.windowMillis > limits.readWindowMillis
                }

            ConnectionActivity.OPENED ->
                CloseReason.SENDS_NOTHING.takeIf { usage.activityMillis > limits.firstByteMillis }

            ConnectionActivity.SERVED, ConnectionActivity.IDLE -> null
        }
    }

    /** Whether the connections of all ports, which hold [heldBytes], hold too much. */
    public fun isTooMuchHeld(heldBytes: Long, limits: ConnectionLimits): Boolean =
        heldBytes > limits.maxHeldBytes - limits.maxHeldBytes / 4

    /**
     * Returns the weight of a connection that is closed to make room, the largest first; null if it
     * is not closed. Refused clients come first, then those that have stalled, and connections
     * that wait for a request last.
     */
    public fun weight(usage: ConnectionUsage): Long? = when {
        usage.isEnding -> Long.MAX_VALUE
        usage.stalledMillis < MIN_STALLED_MILLIS || !mayBeClosed(usage) -> null
        usage.activity.isClientsTurn ->
            IDLE_WEIGHTS + (usage.heldBytes + CONNECTION_BYTES) * usage.stalledMillis

        else -> usage.stalledMillis
    }

    private fun mayBeClosed(usage: ConnectionUsage) = usage.activity != ConnectionActivity.SERVED

    /** Covers delays of the network and of a busy process. */
    private const val HEAD_GRACE_MILLIS = 2_000L

    /** Longer than the pauses between the packets of a client that sends. */
    private const val MIN_STALLED_MILLIS = 400L

    /** What any connection holds. */
    private const val CONNECTION_BYTES = 4_096L

    /** Above the longest time that a connection can be idle. */
    private const val IDLE_WEIGHTS = 1L shl 40
}
