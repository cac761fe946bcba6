/*
 * Tells an outage of the log for all instances from one for a few. While no instance reads the list
 * of servers, none sends requests to a version that is new there, so an old list is as good as a
 * current one. An instance that is cut off together with its neighbors must not conclude this.
 */
package mustarddale.serving.version

import mustarddale.serving.path.RelayPeer

/**
 * The answers of other instances to one question.
 *
 * @property localDomain the failure domain of the instance that asks.
 * @property asked the instances that were asked.
 * @property statusByRun the answers, by the runs of the instances.
 */
public data class PeerPoll(
    public val localDomain: String,
    public val asked: List<RelayPeer>,
    public val statusByRun: Map<String, ListStatus>
) {
    private val answering = asked.filter { it.run in statusByRun }

    /** Whether an instance that answers follows the list. */
    public val hasFollower: Boolean
        get() = statusByRun.values.any { it.ageMillis < MAX_FOLLOWER_AGE_MILLIS }

    /**
     * How long before the question the versions in the answers were all that any instance used, in
     * milliseconds; null if that is not known.
     */
    public val ageMillis: Long?
        get() = when {
            hasFollower -> statusByRun.values.minOf { it.ageMillis }
            isLogAwayForAll -> 0
            else -> null
        }

    private val isLogAwayForAll: Boolean
        get() = answering.isNotEmpty() && answering.size * 2 >= asked.size &&
            (asked.none { isElsewhere(it) } || answering.any { isElsewhere(it) })

    private fun isElsewhere(peer: RelayPeer) = peer.failureDomain != localDomain

    private companion object {
        /** Above the age of a list that a leader relays. */
        const val MAX_FOLLOWER_AGE_MILLIS = 2_000L
    }
}
