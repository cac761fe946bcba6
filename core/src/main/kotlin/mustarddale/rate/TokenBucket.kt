/*
 * A token bucket as in Turner, "New directions in communications (or which way to the information
 * age?)", 1986. It is immutable; each operation returns a new bucket.
 */
package mustarddale.rate

/**
 * A bucket that contains [level] tokens at the time [atMillis].
 *
 * @property capacityTokens the maximum level.
 * @property tokensPerMilli the refill rate in tokens per millisecond.
 */
public data class TokenBucket(
    public val capacityTokens: Double,
    public val tokensPerMilli: Double,
    public val level: Double,
    public val atMillis: Long
) {
    /** Adds the tokens accrued until [nowMillis]; an earlier time changes nothing. */
    public fun refill(nowMillis: Long): TokenBucket {
        val elapsedMillis = (nowMillis - atMillis).coerceAtLeast(0)
        val filled = level + elapsedMillis * tokensPerMilli
        val level = filled.coerceAtMost(capacityTokens)
        return copy(level = level, atMillis = maxOf(atMillis, nowMillis))
    }

    /** Removes [tokens]; throws IllegalArgumentException if the level is lower. */
    public fun take(tokens: Double): TokenBucket {
        require(tokens <= level) { "cannot take $tokens tokens from a level of $level" }
        return copy(level = level - tokens)
    }

    /** Adds [tokens]; tokens above the capacity are discarded. */
    public fun deposit(tokens: Double): TokenBucket =
        copy(level = (level + tokens).coerceAtMost(capacityTokens))

    /** Changes capacity and rate; tokens above the new capacity are discarded. */
    public fun resize(capacityTokens: Double, tokensPerMilli: Double): TokenBucket = copy(
        capacityTokens = capacityTokens,
        tokensPerMilli = tokensPerMilli,
        level = level.coerceAtMost(capacityTokens)
    )
}
