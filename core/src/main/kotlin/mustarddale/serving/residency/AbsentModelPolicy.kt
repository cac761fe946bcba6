/*
 * Decides what becomes of a request whose model no engine holds. It answers the load of many
 * interactive requests for a model that has just lost its last copy: their callers give up within
 * seconds, so a request waits only if the model is expected while its caller is still there. All
 * others are told at once when to come back.
 */
package mustarddale.serving.residency

/** What to do with a request whose model is absent. */
public sealed interface AbsentModelDecision {
    /** It waits for the model, until [untilMillis] at most. */
    public data class Wait(public val untilMillis: Long) : AbsentModelDecision

    /** It is refused; the model should be there after [retryAfterMillis]. */
    public data class RetryLater(public val retryAfterMillis: Long) : AbsentModelDecision
}

/**
 * A request that wants an absent model.
 *
 * @property callerTimeoutAtMillis when its caller gives up at the latest, or is answered in vain.
 * @property latencyTargetMillis the time within which its answer should begin.
 * @property lacksAdapterOnly whether an engine holds the model, but not the adapter.
 */
public data class AbsentModelRequest(
    public val arrivedAtMillis: Long,
    public val callerTimeoutAtMillis: Long,
    public val latencyTargetMillis: Long,
    public val lacksAdapterOnly: Boolean
)

/** The rules of waiting for absent models. */
public object AbsentModelPolicy {
    /**
     * Decides on [request] at [nowMillis].
     *
     * @param expectedAtMillis when the model should be there, null if it was not ordered anywhere.
     */
    public fun decide(
        request: AbsentModelRequest,
        expectedAtMillis: Long?,
        nowMillis: Long
    ): AbsentModelDecision {
        val callerTimeoutMillis = request.callerTimeoutAtMillis - request.arrivedAtMillis
        val latestMillis = minOf(
            request.arrivedAtMillis + callerTimeoutMillis * 3 / 4,
            request.arrivedAtMillis + MAX_WAIT_MILLIS
        )
        // Adapters load within milliseconds as soon as a place is free.
        if (request.lacksAdapterOnly && nowMillis < latestMillis) {
            return AbsentModelDecision.Wait(latestMillis)
        }
        val isOverdue = expectedAtMillis != null && expectedAtMillis < nowMillis - OVERDUE_MILLIS
        if (expectedAtMillis == null || isOverdue) {
            val orderedMillis = maxOf(ORDER_MILLIS, request.latencyTargetMillis * 3 / 4)
            val untilMillis = minOf(request.arrivedAtMillis + orderedMillis, latestMillis)
            if (nowMillis < untilMillis) return AbsentModelDecision.Wait(untilMillis)
            return AbsentModelDecision.RetryLater(UNKNOWN_RETRY_MILLIS)
        }
        if (expectedAtMillis <= latestMillis) return AbsentModelDecision.Wait(latestMillis)
        val missingMillis = expectedAtMillis - nowMillis
        return AbsentModelDecision.RetryLater(missingMillis.coerceAtLeast(MIN_RETRY_MILLIS))
    }

    /** A load from the weight store takes up to 4.2 s and may queue for it. */
    private const val MAX_WAIT_MILLIS = 6_000L

    /** The leader orders within two ticks if an engine has room or is free to make some. */
    private const val ORDER_MILLIS = 400L

    /** A load that is late by as much has failed or been delayed by others. */
    private const val OVERDUE_MILLIS = 500L

    /** About the time that making room and loading from a disk takes. */
    private const val UNKNOWN_RETRY_MILLIS = 1_000L

    /** A retry at once would find the same. */
    private const val MIN_RETRY_MILLIS = 200L
}
