/*
 * A token bucket as in Turner, "New directions in communications (or which way to the information
 * age?)", 1986. It is a value: each operation gives a new bucket.
 */
package mustarddale.rate

/**
 * A bucket that holds [level] tokens at [atMillis].
 *
 * @property capacityTokens the most that it holds.
 * @property tokensPerMilli how fast it fills.
 */
public data class TokenBucket(
    public val capacityTokens: Double,
    public val tokensPerMilli: Double,
    public val level: Double,
    public val atMillis: Long
) {
    /** Fills up to [nowMillis]. */
    public fun refill(nowMillis: Long): TokenBucket {
        val elapsedMillis = (nowMillis - atMillis).coerceAtLeast(0)
        val filled = level + elapsedMillis * tokensPerMilli
        val level = filled.coerceAtMost(capacityTokens)
        return copy(level = level, atMillis = maxOf(atMillis, nowMillis))
    }

    /** Takes [tokens] out; the level must allow it. */
    public fun take(tokens: Double): TokenBucket {
        require(tokens <= level) { "took $tokens of $level" }
        return copy(level = level - tokens)
    }

    /** Puts [tokens] in; what does not fit is lost. */
    public fun deposit(tokens: Double): TokenBucket =
        copy(level = (level + tokens).coerceAtMost(capacityTokens))

    /** Gives the bucket another size; tokens that no longer fit are lost. */
    public fun resize(capacityTokens: Double, tokensPerMilli: Double): TokenBucket = copy(
        capacityTokens = capacityTokens,
        tokensPerMilli = tokensPerMilli,
        level = level.coerceAtMost(capacityTokens)
    )
}
