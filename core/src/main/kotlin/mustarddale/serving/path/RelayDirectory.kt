/*
 * The leader's knowledge of which instances reach which services. An instance that can't reach the
 * servers of a service gets a few others that can, so that instances need not know each other.
 */
package mustarddale.serving.path

import java.util.random.RandomGenerator

/** The instances that report to the leader; not thread-safe. */
public class RelayDirectory(private val random: RandomGenerator) {
    private val members = HashMap<String, Member>()

    /** Whether an instance that reports reaches the servers of all services. */
    public fun hasConnectedMember(nowMillis: Long): Boolean =
        members.values.any { it.cutOffServices.isEmpty() && it.isCurrent(nowMillis) }

    /**
     * Records a report of [instance], which reaches no server of [cutOffServices].
     *
     * @param peer how other instances reach it, null if that is known from an earlier report.
     * @param needsRelay whether it needs others to reach servers.
     */
    public fun report(
        instance: String,
        peer: RelayPeer?,
        cutOffServices: Set<String>,
        needsRelay: Boolean,
        nowMillis: Long
    ) {
        val known = peer ?: members[instance]?.peer ?: return
        members[instance] = Member(known, cutOffServices, needsRelay, nowMillis)
    }

    /** Returns a few instances that can relay requests of [instance], those nearby first. */
    public fun peersFor(instance: String, nowMillis: Long): List<RelayPeer> {
        val asking = members[instance] ?: return emptyList()
        if (!asking.needsRelay) return emptyList()
        val able = members.values
            .filter { it.peer.instance != instance && it.isCurrent(nowMillis) }
            .filter { it.cutOffServices.none { service -> service in asking.cutOffServices } }
            .map { it.peer }
        val domain = asking.peer.failureDomain
        val near = sample(able.filter { it.failureDomain == domain }, MAX_NEAR_PEERS)
        return near + sample(able.filter { it.failureDomain != domain }, MAX_PEERS - near.size)
    }

    private fun sample(peers: List<RelayPeer>, count: Int): List<RelayPeer> =
        peers.map { it to random.nextInt() }.sortedBy { it.second }.take(count).map { it.first }

    private class Member(
        val peer: RelayPeer,
        val cutOffServices: Set<String>,
        val needsRelay: Boolean,
        val reportedAtMillis: Long
    ) {
        fun isCurrent(nowMillis: Long): Boolean =
            nowMillis - reportedAtMillis <= REPORT_LIFETIME_MILLIS
    }

    private companion object {
        const val MAX_PEERS = 6

        /** The rest are in other domains, as a whole domain may lose its paths. */
        const val MAX_NEAR_PEERS = 3

        /** Four report intervals. */
        const val REPORT_LIFETIME_MILLIS = 1_000L
    }
}
