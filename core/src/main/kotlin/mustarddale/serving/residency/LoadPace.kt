package mustarddale.serving.residency

import mustarddale.rate.TokenBucket

/** Paces loads from the weight store, over all engines of a service; belongs to one thread. */
public class LoadPace(loadsPerSecond: Double, nowMillis: Long) {
    private var bucket = TokenBucket(
        capacityTokens = BURST_LOADS,
        tokensPerMilli = loadsPerSecond / MILLIS_PER_SECOND,
        level = 1.0,
        atMillis = nowMillis
    )

    /** Whether a load may begin. */
    public fun isOpen(nowMillis: Long): Boolean {
        bucket = bucket.refill(nowMillis)
        return bucket.level >= 1.0
    }

    /** Notes that a load begins. */
    public fun began() {
        bucket = bucket.copy(level = bucket.level - 1.0)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** The weight store bears three loads more in five seconds than its rate gives. */
        const val BURST_LOADS = 3.0
    }
}
