/*
 * Enforces this instance's part of each client account's rate and burst, in proportion to the rate
 * slots (equal shares of all rate limits, see SlotTable) that it holds. Instances transfer tokens
 * without creating any: the sender withdraws them first, the receiver deposits them at most once,
 * and a lost message loses its tokens. A transfer takes at most MAX_TRANSFER_MILLIS, and the
 * sender's bucket refills meanwhile. The burst that is divided among slots is therefore reduced by
 * the tokens that accrue in that time, so that all instances together never exceed the account's
 * burst.
 */
package mustarddale.rate

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import mustarddale.config.ClientAccount

/** The result of an attempt to take tokens. */
public sealed interface TakeResult {
    /** The tokens were taken; [limiter] is the state after that. */
    public data class Taken(public val limiter: RateLimiter) : TakeResult

    /** This instance has too few tokens, by [missingTokens]; other instances may have them. */
    public data class Insufficient(
        public val limiter: RateLimiter,
        public val missingTokens: Double
    ) : TakeResult
}

/** The [tokens] withdrawn for another instance and the [limiter] after that. */
public data class Withdrawal(public val limiter: RateLimiter, public val tokens: Double)

/**
 * The token buckets of this instance, one for each client account; immutable.
 *
 * @property heldSlots how many of [totalSlots] this instance may use.
 * @property validUntilMillis the earliest lease expiry of these slots; from then on no tokens are
 *   spent, so that a process that was suspended cannot spend tokens of slots that were taken over.
 */
public data class RateLimiter(
    public val heldSlots: Int = 0,
    public val totalSlots: Int = 1,
    public val validUntilMillis: Long = Long.MIN_VALUE,
    private val buckets: PersistentMap<String, TokenBucket> = persistentMapOf()
) {
    /**
     * Resizes the buckets to the usable slots of [lease]; excess tokens are discarded.
     *
     * @param newSlots slots claimed for the first time by any instance; their share starts full.
     */
    public fun applyLease(
        lease: SlotLease,
        totalSlots: Int,
        accounts: List<ClientAccount>,
        newSlots: Set<Int>,
        nowMillis: Long
    ): RateLimiter {
        val usableSlots = lease.usableSlots(nowMillis)
        val next = copy(
            heldSlots = usableSlots.size,
            totalSlots = totalSlots,
            validUntilMillis = lease.validUntilMillis(nowMillis)
        )
        val resized = accounts.associate { account ->
            val before =
                buckets[account.name]?.refillUntilExpiry(nowMillis) ?: emptyBucket(nowMillis)
            val capacity = next.capacityTokens(account)
            val initialTokens =
                capacity / usableSlots.size.coerceAtLeast(1) * usableSlots.count { it in newSlots }
            val bucket =
                before.resize(capacity, next.tokensPerMilli(account)).deposit(initialTokens)
            account.name to bucket.copy(atMillis = nowMillis)
        }
        return next.copy(buckets = persistentMapOf<String, TokenBucket>().putAll(resized))
    }

    /** Takes [tokens] from the bucket of [account] if it holds that many. */
    public fun take(account: String, tokens: Double, nowMillis: Long): TakeResult {
        val bucket = (buckets[account] ?: emptyBucket(nowMillis)).refillUntilExpiry(nowMillis)
        val available = if (isLeaseValid(nowMillis)) bucket.level else 0.0
        if (tokens > available) return TakeResult.Insufficient(this, tokens - available)
        return TakeResult.Taken(withBucket(account, bucket.take(tokens)))
    }

    /** Withdraws up to [tokens] to transfer them to another instance. */
    public fun withdrawUpTo(account: String, tokens: Double, nowMillis: Long): Withdrawal {
        val bucket = (buckets[account] ?: emptyBucket(nowMillis)).refillUntilExpiry(nowMillis)
        val withdrawn = if (isLeaseValid(nowMillis)) tokens.coerceIn(0.0, bucket.level) else 0.0
        return Withdrawal(withBucket(account, bucket.take(withdrawn)), withdrawn)
    }

    /** Adds tokens that a request did not use or that another instance transferred. */
    public fun deposit(account: String, tokens: Double, nowMillis: Long): RateLimiter {
        val bucket = buckets[account] ?: return this
        return withBucket(account, bucket.refillUntilExpiry(nowMillis).deposit(tokens))
    }

    /** Returns how many tokens [account] can spend at this instance at [nowMillis]. */
    public fun availableTokens(account: String, nowMillis: Long): Double {
        if (!isLeaseValid(nowMillis)) return 0.0
        return buckets[account]?.refillUntilExpiry(nowMillis)?.level ?: 0.0
    }

    /** Whether the leases of the held slots are still valid at [nowMillis]. */
    public fun isLeaseValid(nowMillis: Long): Boolean = nowMillis < validUntilMillis

    /** Refills only until the lease expires; others may refill from the same slots afterwards. */
    private fun TokenBucket.refillUntilExpiry(nowMillis: Long): TokenBucket =
        refill(minOf(nowMillis, validUntilMillis))

    private fun withBucket(account: String, bucket: TokenBucket): RateLimiter =
        copy(buckets = buckets.put(account, bucket))

    private fun capacityTokens(account: ClientAccount): Double =
        divisibleBurstTokens(account) * heldSlots / totalSlots

    private fun tokensPerMilli(account: ClientAccount): Double =
        account.tokensPerSecond * (1 - MAX_CLOCK_DRIFT) / MILLIS_PER_SECOND * heldSlots / totalSlots

    public companion object {
        /** The longest duration of a transfer; tokens that arrive later are discarded. */
        public const val MAX_TRANSFER_MILLIS: Long = 250

        /** The largest relative error of a monotonic clock; the refill rate is reduced by it. */
        private const val MAX_CLOCK_DRIFT = 0.001
        private const val MILLIS_PER_SECOND = 1_000.0

        /** Returns the part of the burst of [account] that is divided among the slots. */
        public fun divisibleBurstTokens(account: ClientAccount): Double =
            account.burstTokens - account.tokensPerSecond * MAX_TRANSFER_MILLIS / MILLIS_PER_SECOND

        private fun emptyBucket(nowMillis: Long): TokenBucket =
            TokenBucket(0.0, 0.0, 0.0, nowMillis)
    }
}
