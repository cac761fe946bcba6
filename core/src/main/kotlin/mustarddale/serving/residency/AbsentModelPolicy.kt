/*
 * Decides what happens to a request whose model is not loaded on any engine. The critical case is
 * many interactive requests for a model that has just lost its last copy: their callers give up
 * within seconds, so a request waits only if the model is expected before that. All others are
 * refused at once with the time after which to retry.
 */
package mustarddale.serving.residency

/** What to do with a request whose model is not loaded on any engine. */
public sealed interface AbsentModelDecision {
    /** The request waits for the model, until [untilMillis] at most. */
    public data class Wait(public val untilMillis: Long) : AbsentModelDecision

    /** The request is refused; the model should be loaded after [retryAfterMillis]. */
    public data class RetryLater(public val retryAfterMillis: Long) : AbsentModelDecision
}

/**
 * A request for a model that is not loaded on any engine.
 *
 * @property callerTimeoutAtMillis the latest time at which the caller disconnects or the request
 *   times out.
 * @property latencyTargetMillis the target for the time until the response begins.
 * @property lacksAdapterOnly whether an engine has loaded the model, but not the adapter.
 */
public data class AbsentModelRequest(
    public val arrivedAtMillis: Long,
    public val callerTimeoutAtMillis: Long,
    public val latencyTargetMillis: Long,
    public val lacksAdapterOnly: Boolean
)

/** Decides whether requests wait for absent models. */
public object AbsentModelPolicy {
    /**
     * Decides on [request] at [nowMillis].
     *
     * @param expectedAtMillis when the model should be loaded, null if no engine loads it.
     */
    public fun decide(
        request: AbsentModelRequest,
        expectedAtMillis: Long?,
        nowMillis: Long
    ): AbsentModelDecision {
        val callerTimeoutMillis = request.callerTimeoutAtMillis - request.arrivedAtMillis
        val latestWaitMillis = minOf(
            request.arrivedAtMillis + callerTimeoutMillis * 3 / 4,
            request.arrivedAtMillis + MAX_WAIT_MILLIS
        )
        // An adapter loads within milliseconds once an adapter slot is free.
        if (request.lacksAdapterOnly && nowMillis < latestWaitMillis) {
            return AbsentModelDecision.Wait(latestWaitMillis)
        }
        val isOverdue = expectedAtMillis != null && expectedAtMillis < nowMillis - OVERDUE_MILLIS
        if (expectedAtMillis == null || isOverdue) {
            val orderWaitMillis = maxOf(MIN_ORDER_WAIT_MILLIS, request.latencyTargetMillis * 3 / 4)
            val untilMillis = minOf(request.arrivedAtMillis + orderWaitMillis, latestWaitMillis)
            if (nowMillis < untilMillis) return AbsentModelDecision.Wait(untilMillis)
            return AbsentModelDecision.RetryLater(DEFAULT_RETRY_MILLIS)
        }
        if (expectedAtMillis <= latestWaitMillis && nowMillis < latestWaitMillis) {
            return AbsentModelDecision.Wait(latestWaitMillis)
        }
        val remainingMillis = expectedAtMillis - nowMillis
        return AbsentModelDecision.RetryLater(remainingMillis.coerceAtLeast(MIN_RETRY_MILLIS))
    }

    /** A load from the weight store takes up to 4.2 s, and may have to wait for its turn. */
    private const val MAX_WAIT_MILLIS = 6_000L

    /** The leader orders a load within two planning rounds if an engine has or can free room. */
    private const val MIN_ORDER_WAIT_MILLIS = 400L

    /** A load that is this late has failed or is delayed by other loads. */
    private const val OVERDUE_MILLIS = 500L

    /** About the time to unload another model and to load this one from disk. */
    private const val DEFAULT_RETRY_MILLIS = 1_000L

    /** An immediate retry would get the same result. */
    private const val MIN_RETRY_MILLIS = 200L
}
