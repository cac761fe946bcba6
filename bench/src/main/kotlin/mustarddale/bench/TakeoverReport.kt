/*
 * Compares three lease policies for rate slots by how many requests they refuse to an account that
 * stays within its rate: until the slots of a crashed instance (one of nine) can be taken over, and
 * while the log is down for an hour, so that no lease can be renewed. It runs the production token
 * buckets on a virtual clock, so every run gives the same result.
 */
package mustarddale.bench

import mustarddale.config.ClientAccount
import mustarddale.rate.RateLimiter
import mustarddale.rate.SlotLease
import mustarddale.rate.TakeResult

/** Prints the share of refused requests for each event, lease policy and demand as JSON lines. */
public class TakeoverReport {
    /** Leases of 75 minutes, leases of 30 seconds, or half of the slots on each of the two. */
    private enum class LeasePolicy { LONG_LEASE, SHORT_LEASE, HALF_SHORT }

    private enum class Event { CRASH, LOG_DOWN }

    /** Simulates every combination of event, lease policy and demand. */
    public fun run() {
        Event.entries.forEach { event ->
            LeasePolicy.entries.forEach { policy ->
                DEMANDS.forEach { demand -> simulate(event, policy, demand) }
            }
        }
    }

    private fun simulate(event: Event, policy: LeasePolicy, demand: Double) {
        var limiter = RateLimiter()
        var refused = 0
        var requests = 0
        var previousSlots = -1
        for (second in 0 until RUN_SECONDS) {
            val nowMillis = second * MILLIS_PER_SECOND
            val slots = usableSlots(event, policy, second)
            if (slots != previousSlots || second % LEASE_UPDATE_SECONDS == 0) {
                val lease = SlotLease().replaceSlots(
                    (0 until slots).toSet(),
                    nowMillis,
                    LONG_LEASE_MILLIS
                )
                limiter = limiter.applyLease(lease, SLOTS, ACCOUNTS, emptySet(), nowMillis)
                previousSlots = slots
            }
            repeat((demand * ACCOUNT.tokensPerSecond / TOKENS_PER_REQUEST).toInt()) {
                requests++
                when (val result = limiter.take(ACCOUNT.name, TOKENS_PER_REQUEST, nowMillis)) {
                    is TakeResult.Taken -> limiter = result.limiter
                    is TakeResult.Insufficient -> refused++
                }
            }
        }
        val share = "%.4f".format(refused.toDouble() / requests)
        println(
            "{\"event\":\"$event\",\"way\":\"$policy\",\"demand\":$demand,\"refusedPart\":$share}"
        )
    }

    /** Returns how many of all rate slots have a valid lease, [second] seconds into the run. */
    private fun usableSlots(event: Event, policy: LeasePolicy, second: Int): Int {
        val lostSlots = SLOTS / INSTANCES
        val isShortExpired = second > EVENT_START_SECONDS + SHORT_LEASE_SECONDS
        val isLongExpired = second > EVENT_START_SECONDS + LONG_LEASE_MILLIS / MILLIS_PER_SECOND
        val isLogDown = second in EVENT_START_SECONDS..EVENT_START_SECONDS + HOUR_SECONDS
        return when {
            second < EVENT_START_SECONDS -> SLOTS
            event == Event.CRASH && policy == LeasePolicy.LONG_LEASE -> if (isLongExpired) {
                SLOTS
            } else {
                SLOTS - lostSlots
            }
            event == Event.CRASH && policy == LeasePolicy.SHORT_LEASE -> if (isShortExpired) {
                SLOTS
            } else {
                SLOTS - lostSlots
            }
            event == Event.CRASH -> halfShortSlots(isShortExpired, isLongExpired, lostSlots)
            !isLogDown || policy == LeasePolicy.LONG_LEASE || !isShortExpired -> SLOTS
            policy == LeasePolicy.SHORT_LEASE -> 0
            else -> SLOTS / 2
        }
    }

    private fun halfShortSlots(
        isShortExpired: Boolean,
        isLongExpired: Boolean,
        lostSlots: Int
    ): Int = when {
        isLongExpired -> SLOTS
        isShortExpired -> SLOTS - lostSlots / 2
        else -> SLOTS - lostSlots
    }

    private companion object {
        const val INSTANCES = 9
        const val SLOTS = 180
        const val HOUR_SECONDS = 3_600
        const val RUN_SECONDS = 3 * HOUR_SECONDS
        const val EVENT_START_SECONDS = 600
        const val SHORT_LEASE_SECONDS = 30
        const val LEASE_UPDATE_SECONDS = 60
        const val MILLIS_PER_SECOND = 1_000L
        const val LONG_LEASE_MILLIS = 75 * 60_000L
        const val TOKENS_PER_REQUEST = 100.0
        val DEMANDS = listOf(0.5, 0.8, 0.9, 0.95, 0.99)
        val ACCOUNT = ClientAccount("a", 10_000, 40_000)
        val ACCOUNTS = listOf(ACCOUNT)
    }
}
