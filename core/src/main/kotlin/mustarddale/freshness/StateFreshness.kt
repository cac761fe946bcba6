/*
 * Whether an instance may still act on the configuration that it knows. It may if it has lately
 * read the log to its end, itself or through a peer that it has caught up with. While the log is
 * down for all, it may if it hears from more than half of the known instances: changes are accepted
 * only by an instance that hears from more than half too, any two majorities share an instance, and
 * that one passes each change on.
 */
package mustarddale.freshness

/**
 * The last heartbeat of a peer.
 *
 * @property nextOffset the peer's offset after the last record that it had folded.
 * @property logAgeMillis how old the peer's own evidence of the log's end was.
 * @property receivedAtMillis when the heartbeat came, on this instance's monotonic clock.
 */
public data class PeerHeartbeat(
    public val instance: String,
    public val nextOffset: Long,
    public val logAgeMillis: Long,
    public val receivedAtMillis: Long
)

/**
 * What an instance knows at [nowMillis].
 *
 * @property logReadSentMillis when the last read that the log answered was sent.
 * @property knownInstances all instances that the platform last listed as live, this one included.
 */
public data class StateFreshness(
    public val self: String,
    public val nextOffset: Long,
    public val logReadSentMillis: Long,
    public val peers: List<PeerHeartbeat>,
    public val knownInstances: Set<String>,
    public val nowMillis: Long
) {
    /** Whether the newest configuration is known, or nobody can have changed it unheard. */
    public val isFresh: Boolean
        get() = logAgeMillis() <= MAX_AGE_MILLIS || hearsFromMajority

    /** Whether more than half of the known instances, this one included, are heard from. */
    public val hearsFromMajority: Boolean
        get() {
            val heard = peers.filter { nowMillis - it.receivedAtMillis <= MAX_AGE_MILLIS }
                .map { it.instance }
                .toSet() + self
            val known = knownInstances + self
            return heard.count { it in known } * 2 > known.size
        }

    /** How old the best evidence is that this instance has read the log to its end. */
    public fun logAgeMillis(): Long {
        val own = if (logReadSentMillis == NEVER) UNKNOWN_AGE else nowMillis - logReadSentMillis
        val throughPeers = peers
            .filter { it.nextOffset <= nextOffset && it.logAgeMillis != UNKNOWN_AGE }
            .map { it.logAgeMillis + (nowMillis - it.receivedAtMillis) }
        return minOf(own, throughPeers.minOrNull() ?: UNKNOWN_AGE)
    }

    public companion object {
        /** How old evidence may be; a change is in force everywhere within 4 s. */
        public const val MAX_AGE_MILLIS: Long = 3_000

        /** The time of a log read that never was. */
        public const val NEVER: Long = Long.MIN_VALUE

        /** The age of evidence that there is not. */
        public const val UNKNOWN_AGE: Long = Long.MAX_VALUE
    }
}
