/*
 * Limits retries on another backend server, so that failures do not multiply the load. Each
 * instance may retry a fraction of its own requests, plus its share of a fixed allowance, so all
 * instances together stay within the budget without knowing each other's retries.
 */
package mustarddale.serving.retry

/**
 * The retries that a service may make over all instances.
 *
 * @property windowMillis the length of the sliding window in which requests and retries count.
 * @property ratio the number of retries per request.
 * @property allowance the number of retries in a window on top of [ratio].
 */
public data class RetryLimits(
    public val windowMillis: Long,
    public val ratio: Double,
    public val allowance: Double
)

/** The retry budget of one service at one instance; not thread-safe. */
public class RetryBudget(private val limits: RetryLimits) {
    private val requests = ArrayDeque<Long>()
    private val retries = ArrayDeque<Long>()

    /** Records a caller's request, which adds to the budget. */
    public fun recordRequest(nowMillis: Long) {
        requests.addLast(nowMillis)
        dropExpired(nowMillis)
    }

    /**
     * Whether one of [instances] instances has a retry left in its budget; null for an unknown
     * number, with which an instance has no share of the allowance.
     */
    public fun mayRetry(instances: Int?, nowMillis: Long): Boolean {
        dropExpired(nowMillis)
        val allowanceShare = instances?.let { limits.allowance / it.coerceAtLeast(1) } ?: 0.0
        val allowed = (limits.ratio * requests.size + allowanceShare) * SAFETY_FACTOR
        return retries.size + 1 <= allowed
    }

    /** Uses up a retry, see [mayRetry]; returns false if none is left. */
    public fun tryAcquire(instances: Int?, nowMillis: Long): Boolean {
        if (!mayRetry(instances, nowMillis)) return false
        retries.addLast(nowMillis)
        return true
    }

    private fun dropExpired(nowMillis: Long) {
        val windowStartMillis = nowMillis - limits.windowMillis
        while (requests.isNotEmpty() && requests.first() < windowStartMillis) requests.removeFirst()
        while (retries.isNotEmpty() && retries.first() < windowStartMillis) retries.removeFirst()
    }

    private companion object {
        /**
         * Margin, because a check of the budget over all instances may use windows that start at
         * other times and hold fewer requests for the same retries.
         */
        const val SAFETY_FACTOR = 0.8
    }
}
