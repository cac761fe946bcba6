/*
 * Permits for requests to backend servers with a limit while there is no leader. The instances take
 * turns in the order and by the clock of their last leader: each limit is divided into slots of one
 * request, and each slot belongs to one instance and expires soon. No instance needs to know what
 * the others do, and unused slots do not add up to a burst.
 */
package mustarddale.serving.limit

import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

/** The place of an instance in the rotation: its [rank], from 0, among [instances]. */
public data class RotationPlace(public val rank: Int, public val instances: Int)

/** The permits of one instance; not thread-safe. */
public class PermitRotation {
    private var place: RotationPlace? = null
    private var leaderClockOffsetMillis = Long.MIN_VALUE

    /** When the instance lost the leader, by the leader's clock; null while it has one. */
    private var leaderLostMillis: Long? = null
    private val lastUsedSlotMillis = HashMap<String, Double>()

    /** Whether there is no leader that can be asked for permits. */
    public val isActive: Boolean get() = leaderLostMillis != null

    /**
     * Records a message that the leader sent at [leaderMillis] of its own clock.
     *
     * @param isNewLeader whether the messages before were of another leader.
     */
    public fun onLeaderMessage(
        newPlace: RotationPlace,
        leaderMillis: Long,
        isNewLeader: Boolean,
        nowMillis: Long
    ) {
        if (isNewLeader) leaderClockOffsetMillis = Long.MIN_VALUE
        place = newPlace
        leaderLostMillis = null
        // The message with the shortest delay gives the best estimate.
        leaderClockOffsetMillis = max(leaderClockOffsetMillis, leaderMillis - nowMillis)
    }

    /** Records that the leader has ended or stopped responding. */
    public fun onLeaderLost(nowMillis: Long) {
        if (place == null || isActive) return
        leaderLostMillis = nowMillis + leaderClockOffsetMillis
        lastUsedSlotMillis.clear()
    }

    /**
     * Requests a permit for a request to [server], which accepts [requestsPerSecond] and whose
     * permit may be for up to [maxDelayMillis] from now.
     */
    public fun request(
        server: String,
        requestsPerSecond: Double,
        maxDelayMillis: Long,
        nowMillis: Long
    ): SendPermit {
        val lostMillis = leaderLostMillis
        val ownPlace = place
        if (lostMillis == null || ownPlace == null) return SendPermit.Refused(NO_PLACE_RETRY_MILLIS)
        val leaderMillis = nowMillis + leaderClockOffsetMillis
        val intervalMillis = requestIntervalMillis(slotsPerSecond(requestsPerSecond))
        val roundMillis = intervalMillis * ownPlace.instances
        val ownMillis = intervalMillis * ownPlace.rank
        val usableFromMillis = maxOf(
            lostMillis.toDouble(),
            (leaderMillis - SLOT_LIFETIME_MILLIS).toDouble(),
            lastUsedSlotMillis[server]?.let { it + roundMillis / 2 } ?: -Double.MAX_VALUE
        )
        val rounds = ceil((usableFromMillis - ownMillis) / roundMillis)
        val slotMillis = ownMillis + rounds * roundMillis
        val delayMillis = ceil(slotMillis - leaderMillis).toLong().coerceAtLeast(0)
        if (delayMillis > maxDelayMillis) return SendPermit.Refused(delayMillis - maxDelayMillis)
        lastUsedSlotMillis[server] = slotMillis
        return SendPermit.Granted(delayMillis)
    }

    /**
     * Returns how many slots begin in a second, so that all that are usable within
     * [BOUND_WINDOW_SECONDS] are at most what the platform allows.
     */
    private fun slotsPerSecond(requestsPerSecond: Double): Double {
        val allowed = BOUND_FACTOR * requestsPerSecond * BOUND_WINDOW_SECONDS + BOUND_EXTRA_REQUESTS
        val usableSeconds = BOUND_WINDOW_SECONDS + SLOT_LIFETIME_MILLIS / 1_000.0
        return min(requestsPerSecond, allowed / usableSeconds)
    }

    public companion object {
        /** The longest time that a request waits for its slot; callers come back no sooner. */
        public const val MAX_DELAY_MILLIS: Long = 1_000

        /** Callers send at random moments, so a slot must outlast the time between two requests. */
        private const val SLOT_LIFETIME_MILLIS = 3_000L

        /** The window in which the platform counts the requests to a server with a limit. */
        private const val BOUND_WINDOW_SECONDS = 4.0
        private const val BOUND_FACTOR = 1.5

        /** One less than the platform allows, as a window may begin within a slot. */
        private const val BOUND_EXTRA_REQUESTS = 4.0

        /** How long limited servers are avoided by an instance that never had a leader. */
        private const val NO_PLACE_RETRY_MILLIS = 250L
    }
}
