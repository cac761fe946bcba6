package mustarddale.serving.overload

/** Spreads the times at which refused callers return. */
public object RetrySpread {
    /**
     * Returns when the caller of [requestId] should return if room is expected in [waitMillis]: up
     * to half of that later, but within the third of its remaining time that callers honour. A
     * caller that has too little time left to be served after its return gets the expected time.
     */
    public fun retryAfterMillis(requestId: String, waitMillis: Long, remainingMillis: Long): Long {
        val base = waitMillis.coerceAtLeast(MIN_RETRY_MILLIS)
        val spreadMillis = (base / 2).coerceAtLeast(1)
        val spread = base + Math.floorMod(mix(requestId.hashCode()).toLong(), spreadMillis)
        val honouredMillis = remainingMillis / HONOURED_PART
        if (spread <= honouredMillis || honouredMillis < MIN_USEFUL_MILLIS) return spread
        // Callers that would all be told the same limit are spread below it.
        val share = Math.floorMod(mix(requestId.hashCode()), SHARES).toDouble() / SHARES
        return (honouredMillis * (1 - share / 2)).toLong().coerceAtLeast(1)
    }

    /** Request ids often differ only in their last digits, which a hash code keeps close. */
    internal fun mix(hash: Int): Int = (hash * GOLDEN) xor (hash * GOLDEN ushr HALF)

    private const val MIN_RETRY_MILLIS = 20L

    /** With less, a caller that returns could wait for no more than a tenth of a second. */
    private const val MIN_USEFUL_MILLIS = 50L
    private const val HONOURED_PART = 3
    private const val SHARES = 1_024
    private const val GOLDEN = -0x61c88647
    private const val HALF = 16
}
