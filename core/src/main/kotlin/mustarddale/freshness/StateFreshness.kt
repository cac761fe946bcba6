/*
 * Decides whether an instance may still act on its copy of the replicated state. It may if the log
 * was recently read to its end, by itself or by a peer whose position it has reached. During a log
 * outage it may if it receives heartbeats from a majority of the known instances: a configuration
 * change is accepted only by an instance that does so too, any two majorities share an instance,
 * and the shared instance relays each change.
 */
package mustarddale.freshness

/**
 * The last heartbeat of a peer.
 *
 * @property nextOffset the offset after the last record that the peer had folded.
 * @property logAgeMillis how long before the heartbeat the peer had read the log to its end.
 * @property receivedAtMillis when the heartbeat arrived, on this instance's monotonic clock.
 */
public data class PeerHeartbeat(
    public val instance: String,
    public val nextOffset: Long,
    public val logAgeMillis: Long,
    public val receivedAtMillis: Long
)

/**
 * The inputs of the freshness decision of the instance [self] at the time [nowMillis].
 *
 * @property nextOffset the offset after the last record that this instance has folded.
 * @property logReadSentMillis when the last read that reached the log's end was sent.
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
    /** Whether the configuration is recent or cannot have changed without this instance knowing. */
    public val isFresh: Boolean
        get() = logAgeMillis() <= MAX_AGE_MILLIS || hearsFromMajority

    /** Whether a majority of the known instances, this one included, sent a recent heartbeat. */
    public val hearsFromMajority: Boolean
        get() {
            val heard = peers.filter { nowMillis - it.receivedAtMillis <= MAX_AGE_MILLIS }
                .map { it.instance }
                .toSet() + self
            val known = knownInstances + self
            return heard.count { it in known } * 2 > known.size
        }

    /** Returns the time since the log was known to be read to its end, [UNKNOWN_AGE] if never. */
    public fun logAgeMillis(): Long {
        val ownAge = if (logReadSentMillis == NEVER) UNKNOWN_AGE else nowMillis - logReadSentMillis
        val peerAges = peers
            .filter { it.nextOffset <= nextOffset && it.logAgeMillis != UNKNOWN_AGE }
            .map { it.logAgeMillis + (nowMillis - it.receivedAtMillis) }
        return minOf(ownAge, peerAges.minOrNull() ?: UNKNOWN_AGE)
    }

    public companion object {
        /** The largest age that counts as fresh; with it a change applies everywhere within 4 s. */
        public const val MAX_AGE_MILLIS: Long = 3_000

        /** The time of the last log read if there was none. */
        public const val NEVER: Long = Long.MIN_VALUE

        /** The age of the last log read if there was none. */
        public const val UNKNOWN_AGE: Long = Long.MAX_VALUE
    }
}
