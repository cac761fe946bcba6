package mustarddale.instance.serving.state

import java.util.random.RandomGenerator
import kotlinx.coroutines.delay
import mustarddale.serving.path.RelayPeer
import mustarddale.time.Clock

/**
 * The instances that relay requests for this one, as the leader has named them. Some are known at
 * all times, for questions when neither the leader nor the log responds.
 */
public class RelayPeers(private val clock: Clock, private val random: RandomGenerator) {
    private var peers = emptyList<RelayPeer>()
    private var namedAtMillis = Long.MIN_VALUE / 2
    private val openByRun = HashMap<String, Int>()
    private val avoidedUntilMillis = HashMap<String, Long>()
    private var awaitedUntilMillis = Long.MIN_VALUE

    /** Lets requests wait a moment for the leader's answer, which has just been asked for some. */
    public fun expect() {
        awaitedUntilMillis = clock.monotonicMillis() + MAX_WAIT_MILLIS
    }

    /** Instances that the leader named last, whether or not they relay requests. */
    public var named: List<RelayPeer> = emptyList()
        private set

    /** Whether the leader is to name instances again. */
    public fun isRenewalDue(): Boolean {
        val interval =
            if (named.size < ENOUGH_NAMED) SHORT_RENEWAL_MILLIS else RENEWAL_INTERVAL_MILLIS
        return clock.monotonicMillis() - namedAtMillis >= interval
    }

    /**
     * Replaces the known instances by [newPeers], unless there are none.
     *
     * @param areNeeded whether requests need them now.
     */
    public fun update(newPeers: List<RelayPeer>, areNeeded: Boolean) {
        if (newPeers.isEmpty()) return
        named = newPeers
        namedAtMillis = clock.monotonicMillis()
        if (!areNeeded) return
        peers = newPeers
        openByRun.values.removeIf { it == 0 }
        avoidedUntilMillis.values.removeIf { it < clock.monotonicMillis() }
    }

    /** Returns the better of two random instances that are not in [triedRuns]; null for none. */
    public suspend fun choose(failureDomain: String, triedRuns: Set<String>): RelayPeer? {
        while (peers.isEmpty() && clock.monotonicMillis() < awaitedUntilMillis) delay(CHECK_MILLIS)
        val nowMillis = clock.monotonicMillis()
        val usable = peers.filter {
            it.run !in triedRuns && (avoidedUntilMillis[it.run] ?: nowMillis) <= nowMillis
        }
        if (usable.isEmpty()) return null
        return List(2) { usable[random.nextInt(usable.size)] }.minByOrNull {
            val distance = if (it.failureDomain == failureDomain) 0 else OTHER_DOMAIN_COST
            (openByRun[it.run] ?: 0) + distance
        }
    }

    /** Records that a request is sent to [peer]. */
    public fun recordSent(peer: RelayPeer) {
        openByRun.merge(peer.run, 1, Int::plus)
    }

    /** Records that a request to [peer] has ended. */
    public fun recordEnded(peer: RelayPeer) {
        openByRun.computeIfPresent(peer.run) { _, open -> open - 1 }
    }

    /** Records that [peer] can't relay requests at the moment. */
    public fun avoid(peer: RelayPeer) {
        avoidedUntilMillis[peer.run] = clock.monotonicMillis() + AVOIDED_MILLIS
    }

    private companion object {
        /** The leader answers an urgent report within this time. */
        const val MAX_WAIT_MILLIS = 150L
        const val CHECK_MILLIS = 5L

        /** A request in the own domain is about as good as one with this many fewer open. */
        const val OTHER_DOMAIN_COST = 2

        const val AVOIDED_MILLIS = 500L

        /** Instances come and go within tens of seconds. */
        const val RENEWAL_INTERVAL_MILLIS = 5_000L

        /** A new leader knows only the instances that have reported to it. */
        const val SHORT_RENEWAL_MILLIS = 500L
        const val ENOUGH_NAMED = 4
    }
}
