/*
 * The part of each client account's rate and burst that this instance may spend: as many shares as
 * it holds slots. Tokens move between instances only by conserved transfers: the giver takes them
 * out first, the receiver puts them in at most once, and a lost message loses tokens. A transfer
 * lives at most MAX_TRANSFER_MILLIS, during which the giver's bucket refills; the burst that is
 * divided is smaller by what flows in that time, so that the sum over the fleet never passes it.
 */
package mustarddale.rate

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import mustarddale.config.ClientAccount

/** What became of a wish for tokens. */
public sealed interface TakeResult {
    /** The tokens were taken. */
    public data class Taken(public val limiter: RateLimiter) : TakeResult

    /** This instance lacks [tokens]; others may have them. */
    public data class Insufficient(public val limiter: RateLimiter, public val tokens: Double) :
        TakeResult
}

/** A limiter with the tokens that it gave away. */
public data class Withdrawal(public val limiter: RateLimiter, public val tokens: Double)

/**
 * The buckets of this instance.
 *
 * @property heldSlots how many of [totalSlots] this instance may use.
 * @property validUntilMillis when the first of them lapses; nothing is spent from then on, so that
 *   a process that was frozen in between cannot spend what others have taken over.
 */
public data class RateLimiter(
    public val heldSlots: Int = 0,
    public val totalSlots: Int = 1,
    public val validUntilMillis: Long = Long.MIN_VALUE,
    private val buckets: PersistentMap<String, TokenBucket> = persistentMapOf()
) {
    /**
     * Spends from the slots of [lease] from now on; buckets keep what still fits.
     *
     * @param newSlots those that were never held by anyone before, and so come full.
     */
    public fun applyLease(
        lease: SlotLease,
        totalSlots: Int,
        accounts: List<ClientAccount>,
        newSlots: Set<Int>,
        nowMillis: Long
    ): RateLimiter {
        val usable = lease.usableSlots(nowMillis)
        val next = copy(
            heldSlots = usable.size,
            totalSlots = totalSlots,
            validUntilMillis = lease.validUntilMillis(nowMillis)
        )
        val resized = accounts.associate { account ->
            val before = buckets[account.name]?.fill(nowMillis) ?: empty(nowMillis)
            val capacity = next.capacityTokens(account)
            val gift = capacity / usable.size.coerceAtLeast(1) * usable.count { it in newSlots }
            val bucket = before.resize(capacity, next.tokensPerMilli(account)).deposit(gift)
            account.name to bucket.copy(atMillis = nowMillis)
        }
        return next.copy(buckets = persistentMapOf<String, TokenBucket>().putAll(resized))
    }

    /** Takes [tokens] for [account]. */
    public fun take(account: String, tokens: Double, nowMillis: Long): TakeResult {
        val bucket = (buckets[account] ?: empty(nowMillis)).fill(nowMillis)
        val level = if (isLeaseValid(nowMillis)) bucket.level else 0.0
        if (tokens > level) return TakeResult.Insufficient(this, tokens - level)
        return TakeResult.Taken(withBucket(account, bucket.take(tokens)))
    }

    /** Takes up to [tokens] out for another instance. */
    public fun withdrawUpTo(account: String, tokens: Double, nowMillis: Long): Withdrawal {
        val bucket = (buckets[account] ?: empty(nowMillis)).fill(nowMillis)
        val given = if (isLeaseValid(nowMillis)) tokens.coerceIn(0.0, bucket.level) else 0.0
        return Withdrawal(withBucket(account, bucket.take(given)), given)
    }

    /** Puts back tokens that a request did not use, or that came from another instance. */
    public fun deposit(account: String, tokens: Double, nowMillis: Long): RateLimiter {
        val bucket = buckets[account] ?: return this
        return withBucket(account, bucket.fill(nowMillis).deposit(tokens))
    }

    /** What [account] could spend here at [nowMillis]. */
    public fun availableTokens(account: String, nowMillis: Long): Double {
        if (!isLeaseValid(nowMillis)) return 0.0
        return buckets[account]?.fill(nowMillis)?.level ?: 0.0
    }

    /** Whether the slots may still be used at [nowMillis]. */
    public fun isLeaseValid(nowMillis: Long): Boolean = nowMillis < validUntilMillis

    /** Fills only up to the end of validity: behind it, others may fill from the same slots. */
    private fun TokenBucket.fill(nowMillis: Long): TokenBucket =
        refill(minOf(nowMillis, validUntilMillis))

    private fun withBucket(account: String, bucket: TokenBucket): RateLimiter =
        copy(buckets = buckets.put(account, bucket))

    private fun capacityTokens(account: ClientAccount): Double =
        divisibleBurstTokens(account) * heldSlots / totalSlots

    private fun tokensPerMilli(account: ClientAccount): Double =
        account.tokensPerSecond * (1 - DRIFT) / MILLIS_PER_SECOND * heldSlots / totalSlots

    public companion object {
        /** How long a transfer may be under way; a later one is lost. */
        public const val MAX_TRANSFER_MILLIS: Long = 250

        /** By how much a clock may run fast. */
        private const val DRIFT = 0.001
        private const val MILLIS_PER_SECOND = 1_000.0

        /** The part of the burst of [account] that is divided between slots. */
        public fun divisibleBurstTokens(account: ClientAccount): Double =
            account.burstTokens - account.tokensPerSecond * MAX_TRANSFER_MILLIS / MILLIS_PER_SECOND

        private fun empty(nowMillis: Long): TokenBucket = TokenBucket(0.0, 0.0, 0.0, nowMillis)
    }
}
