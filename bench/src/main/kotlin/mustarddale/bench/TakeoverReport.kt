/*
 * What each way to keep the rates right costs in requests refused within the rate: nine instances,
 * an account that uses a given part of its rate, one crash or an hour without the log. Pure
 * arithmetic on the virtual clock with the real buckets; same result in every run.
 */
package mustarddale.bench

import mustarddale.config.ClientAccount
import mustarddale.rate.RateLimiter
import mustarddale.rate.SlotLease
import mustarddale.rate.TakeResult

/** Prints the part of requests refused within the rate, for each way and each demand. */
public class TakeoverReport {
    private enum class Way { LONG_LEASE, SHORT_LEASE, HALF_SHORT }

    private enum class Event { CRASH, LOG_DOWN }

    /** Measures. */
    public fun run() {
        Event.entries.forEach { event ->
            Way.entries.forEach { way ->
                DEMANDS.forEach { demand -> measure(event, way, demand) }
            }
        }
    }

    private fun measure(event: Event, way: Way, demand: Double) {
        var limiter = RateLimiter()
        var refused = 0
        var asked = 0
        var usable = -1
        for (second in 0 until SECONDS) {
            val nowMillis = second * MILLIS
            val slots = usableSlots(event, way, second)
            if (slots != usable || second % RESIZE_SECONDS == 0) {
                val lease = SlotLease().replaceSlots(
                    (0 until slots).toSet(),
                    nowMillis,
                    LEASE_MILLIS
                )
                limiter = limiter.applyLease(lease, SLOTS, ACCOUNTS, emptySet(), nowMillis)
                usable = slots
            }
            repeat((demand * ACCOUNT.tokensPerSecond / TOKENS).toInt()) {
                asked++
                when (val taken = limiter.take(ACCOUNT.name, TOKENS, nowMillis)) {
                    is TakeResult.Taken -> limiter = taken.limiter
                    is TakeResult.Insufficient -> refused++
                }
            }
        }
        val part = "%.4f".format(refused.toDouble() / asked)
        println(
            "{\"event\":\"$event\",\"way\":\"$way\",\"demand\":$demand,\"refusedPart\":$part}"
        )
    }

    /** How many of all slots somebody may use, [second] seconds into two hours. */
    private fun usableSlots(event: Event, way: Way, second: Int): Int {
        val crashed = SLOTS / INSTANCES
        val isShortOver = second > START + SHORT_LEASE_SECONDS
        val isLongOver = second > START + LEASE_MILLIS / MILLIS
        val isDown = second in START..START + HOUR
        return when {
            second < START -> SLOTS
            event == Event.CRASH && way == Way.LONG_LEASE -> if (isLongOver) {
                SLOTS
            } else {
                SLOTS -
                    crashed
            }
            event == Event.CRASH && way == Way.SHORT_LEASE -> if (isShortOver) {
                SLOTS
            } else {
                SLOTS -
                    crashed
            }
            event == Event.CRASH -> halfShort(isShortOver, isLongOver, crashed)
            !isDown || way == Way.LONG_LEASE || !isShortOver -> SLOTS
            way == Way.SHORT_LEASE -> 0
            else -> SLOTS / 2
        }
    }

    private fun halfShort(isShortOver: Boolean, isLongOver: Boolean, crashed: Int): Int = when {
        isLongOver -> SLOTS
        isShortOver -> SLOTS - crashed / 2
        else -> SLOTS - crashed
    }

    private companion object {
        const val INSTANCES = 9
        const val SLOTS = 180
        const val HOUR = 3_600
        const val SECONDS = 3 * HOUR
        const val START = 600
        const val SHORT_LEASE_SECONDS = 30
        const val RESIZE_SECONDS = 60
        const val MILLIS = 1_000L
        const val LEASE_MILLIS = 75 * 60_000L
        const val TOKENS = 100.0
        val DEMANDS = listOf(0.5, 0.8, 0.9, 0.95, 0.99)
        val ACCOUNT = ClientAccount("a", 10_000, 40_000)
        val ACCOUNTS = listOf(ACCOUNT)
    }
}
