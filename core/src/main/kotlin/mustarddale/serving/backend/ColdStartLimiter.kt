/*
 * Limits the requests that all instances together send to a cold backend server. The leader grants
 * a permit for each request, because the limit is often lower than the number of instances and
 * cannot be divided among them. A permit expires shortly after it was requested, so the window in
 * which permits count is longer than a second by that time.
 */
package mustarddale.serving.backend

import kotlin.math.ceil

/**
 * Grants permits on the leader; not thread-safe.
 *
 * @param startMillis the start of the leadership. There are no permits within the first window,
 *   because those of the previous leader are not known.
 */
public class ColdStartLimiter(private val startMillis: Long) {
    private val grantsByBackend = HashMap<String, ArrayDeque<Long>>()

    /**
     * Requests a permit for a request to [backend], which can handle [requestsPerSecond] while it
     * is cold; returns 0 if it is granted, else the milliseconds until the next one may be
     * available.
     */
    public fun request(backend: String, requestsPerSecond: Double, nowMillis: Long): Long {
        val firstGrantAtMillis = startMillis + WINDOW_MILLIS
        if (nowMillis < firstGrantAtMillis) return firstGrantAtMillis - nowMillis
        val grants = grantsByBackend.getOrPut(backend) { ArrayDeque() }
        while (grants.isNotEmpty() && grants.first() <= nowMillis - WINDOW_MILLIS) {
            grants.removeFirst()
        }
        if (grants.size >= ceil(requestsPerSecond)) {
            val oldestMillis = grants.firstOrNull() ?: nowMillis
            return oldestMillis + WINDOW_MILLIS - nowMillis
        }
        grants.addLast(nowMillis)
        return 0
    }

    public companion object {
        /** The time after its request within which a permit may be used. */
        public const val PERMIT_LIFETIME_MILLIS: Long = 250

        private const val WINDOW_MILLIS = 1_000 + PERMIT_LIFETIME_MILLIS
    }
}
