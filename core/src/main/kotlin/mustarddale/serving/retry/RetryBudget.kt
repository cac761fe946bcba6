/*
 * Bounds the requests that are sent to a second backend server, so that failures do not multiply
 * the load. Each instance spends a part of its own requests and its share of the fleet's fixed
 * allowance, so the sum over the fleet stays within the budget whatever instances know of each
 * other.
 */
package mustarddale.serving.retry

/**
 * The budget of a service: over [windowMillis], [ratio] of its requests and [allowance] more, for
 * the whole fleet.
 */
public data class RetryLimits(
    public val windowMillis: Long,
    public val ratio: Double,
    public val allowance: Double
)

/** The retries of one service at one instance; belongs to one thread. */
public class RetryBudget(private val limits: RetryLimits) {
    private val requests = ArrayDeque<Long>()
    private val retries = ArrayDeque<Long>()

    /** Counts a request of a caller. */
    public fun recordRequest(nowMillis: Long) {
        requests.addLast(nowMillis)
        trim(nowMillis)
    }

    /** Whether the budget of one among [instances] instances allows a retry. */
    public fun mayRetry(instances: Int, nowMillis: Long): Boolean {
        trim(nowMillis)
        val share = limits.allowance / instances.coerceAtLeast(1)
        val allowed = (limits.ratio * requests.size + share) * SAFETY
        return retries.size + 1 <= allowed
    }

    /** Counts a retry if the budget of one among [instances] instances allows it. */
    public fun tryAcquire(instances: Int, nowMillis: Long): Boolean {
        if (!mayRetry(instances, nowMillis)) return false
        retries.addLast(nowMillis)
        return true
    }

    private fun trim(nowMillis: Long) {
        val from = nowMillis - limits.windowMillis
        while (requests.isNotEmpty() && requests.first() < from) requests.removeFirst()
        while (retries.isNotEmpty() && retries.first() < from) retries.removeFirst()
    }

    private companion object {
        /** Room for retries and requests that fall into different windows elsewhere. */
        const val SAFETY = 0.8
    }
}
