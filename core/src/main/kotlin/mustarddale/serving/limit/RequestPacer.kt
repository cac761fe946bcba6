/*
 * Paces the requests of all instances to a backend server with a limit. A limit is often lower than
 * the number of instances and cannot be divided among them, so the leader grants a permit for each
 * request, by the generic cell rate algorithm (ITU-T I.371). A permit may be for a moment in the
 * near future, for which the request then waits. Requests that accept a longer wait are preferred.
 */
package mustarddale.serving.limit

import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

/**
 * Grants permits on the leader; not thread-safe.
 *
 * @param startMillis the start of the leadership. There are no permits until those of the previous
 *   leader, which are not known, have expired.
 */
public class RequestPacer(startMillis: Long) {
    private val firstPermitMillis = startMillis + MAX_DELAY_MILLIS + PERMIT_LIFETIME_MILLIS
    private val schedules = HashMap<String, Schedule>()

    /**
     * Requests a permit for a request of [instance] to [server], which accepts
     * [requestsPerSecond] and whose permit may be for up to [maxDelayMillis] from now.
     */
    public fun request(
        server: String,
        instance: String,
        requestsPerSecond: Double,
        maxDelayMillis: Long,
        nowMillis: Long
    ): SendPermit {
        val schedule =
            schedules.getOrPut(server) { Schedule(max(nowMillis, firstPermitMillis).toDouble()) }
        val intervalMillis = requestIntervalMillis(requestsPerSecond)
        schedule.setInterval(intervalMillis, nowMillis)
        val permitMillis =
            max(schedule.nextPermitMillis, (nowMillis - BURST_MILLIS).toDouble())
        val delayMillis = ceil(permitMillis - nowMillis).toLong().coerceAtLeast(0)
        if (delayMillis > maxDelayMillis.coerceAtMost(MAX_DELAY_MILLIS)) {
            val availableMillis = nowMillis + delayMillis - maxDelayMillis
            return schedule.refuse(instance, availableMillis, nowMillis)
        }
        schedule.nextPermitMillis = permitMillis + intervalMillis
        return SendPermit.Granted(delayMillis)
    }

    /** Forgets the servers that are not among [servers]. */
    public fun retain(servers: Set<String>) {
        schedules.keys.retainAll(servers)
    }

    private class Schedule(var nextPermitMillis: Double) {
        private var intervalMillis = 0.0

        /** When the instances that got no permit are to ask again. */
        private val returnMillisByInstance = HashMap<String, Long>()

        /** Sets the interval of permits; what was scheduled for a longer one no longer applies. */
        fun setInterval(newIntervalMillis: Double, nowMillis: Long) {
            if (newIntervalMillis < intervalMillis) {
                returnMillisByInstance.clear()
                nextPermitMillis = min(nextPermitMillis, nowMillis + newIntervalMillis)
            }
            intervalMillis = newIntervalMillis
        }

        /** Spreads the returns of instances, so that their number does not matter to the leader. */
        fun refuse(instance: String, availableMillis: Long, nowMillis: Long): SendPermit {
            returnMillisByInstance.values.removeIf { it <= nowMillis }
            val returnMillis = returnMillisByInstance.getOrPut(instance) {
                val lastReturnMillis = returnMillisByInstance.values.maxOrNull() ?: 0
                (lastReturnMillis + (intervalMillis / RETURNS_PER_PERMIT).toLong())
                    .coerceAtMost(nowMillis + MAX_RETURN_MILLIS)
                    .coerceAtLeast(availableMillis)
            }
            return SendPermit.Refused((returnMillis - nowMillis).coerceAtLeast(1))
        }
    }

    public companion object {
        /** The time within which a permit may be used. */
        public const val PERMIT_LIFETIME_MILLIS: Long = 250

        /** The longest time that a request waits for its permit. */
        public const val MAX_DELAY_MILLIS: Long = 500

        /** Permits of the last moments may be used at once, as callers do not send evenly. */
        private const val BURST_MILLIS = 250L

        /** Not every instance that returns still has a request to send. */
        private const val RETURNS_PER_PERMIT = 2.0

        /** Other instances may have no more requests to send by then. */
        private const val MAX_RETURN_MILLIS = 2_000L
    }
}
