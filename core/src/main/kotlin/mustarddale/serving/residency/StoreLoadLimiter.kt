package mustarddale.serving.residency

import mustarddale.rate.TokenBucket

/** Limits the rate of loads from the weight store by all engines of a service; not thread-safe. */
public class StoreLoadLimiter(loadsPerSecond: Double, nowMillis: Long) {
    private var bucket = TokenBucket(
        capacityTokens = BURST_LOADS,
        tokensPerMilli = loadsPerSecond / MILLIS_PER_SECOND,
        level = 1.0,
        atMillis = nowMillis
    )

    /** Whether a load may start at [nowMillis]. */
    public fun mayLoad(nowMillis: Long): Boolean {
        bucket = bucket.refill(nowMillis)
        return bucket.level >= 1.0
    }

    /** Records that a load starts. */
    public fun recordLoad() {
        bucket = bucket.copy(level = bucket.level - 1.0)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** In 5 s, the weight store sustains three loads more than its rate allows. */
        const val BURST_LOADS = 3.0
    }
}
