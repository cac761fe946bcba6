/*
 * Token buckets that limit the rate of client accounts at one instance. The rate and the burst that
 * an account has over all instances are divided into shares. Each instance fills its buckets by its
 * own share only, so the limits over all instances hold without knowledge of the others.
 */
package mustarddale.serving.quota

import mustarddale.rate.TokenBucket
import mustarddale.serving.config.AccountConfig

/**
 * The token buckets of all accounts at one instance; not thread-safe.
 *
 * @param extraBurstTokens the tokens that each account may use beyond its burst over all instances,
 *   because its requests are not spread over the instances as evenly as its burst.
 */
public class AccountQuota(private val extraBurstTokens: () -> Double) {
    private val buckets = HashMap<String, TokenBucket>()
    private val demandedTokens = HashMap<String, Double>()
    private var shares = emptyMap<String, Double>()

    /** Sets this instance's share of each account, from 0 to 1; other accounts get no share. */
    public fun setShares(
        newShares: Map<String, Double>,
        accounts: Collection<AccountConfig>,
        nowMillis: Long
    ) {
        refill(accounts, nowMillis)
        shares = newShares
        refill(accounts, nowMillis)
    }

    /** Adds the tokens that [accounts] have gained by [nowMillis] to their buckets. */
    public fun refill(accounts: Collection<AccountConfig>, nowMillis: Long) {
        accounts.forEach { account ->
            bucketOf(account, nowMillis)?.let { buckets[account.name] = it }
        }
    }

    /** Returns this instance's share of [account], from 0 to 1. */
    public fun shareOf(account: String): Double = shares[account] ?: 0.0

    /**
     * Takes [tokens] from the bucket of [account]; returns false if it holds too few. A request
     * that is larger than a full bucket is granted when the bucket is full, which leaves a negative
     * level.
     */
    public fun tryTake(account: AccountConfig, tokens: Double, nowMillis: Long): Boolean {
        demandedTokens.merge(account.name, tokens, Double::plus)
        val bucket = bucketOf(account, nowMillis) ?: return true
        val isGranted = bucket.level > 0 && bucket.level >= minOf(tokens, bucket.capacityTokens)
        buckets[account.name] =
            if (isGranted) bucket.copy(level = bucket.level - tokens) else bucket
        return isGranted
    }

    /** Returns the [tokens] of a request that did not run to the bucket of [account]. */
    public fun refund(account: AccountConfig, tokens: Double) {
        buckets.computeIfPresent(account.name) { _, bucket -> bucket.deposit(tokens) }
    }

    /** Returns in how many milliseconds [tokens] of [account] will be available. */
    public fun waitMillis(account: AccountConfig, tokens: Double, nowMillis: Long): Long {
        val bucket = bucketOf(account, nowMillis) ?: return 0
        if (bucket.tokensPerMilli <= 0.0) return NO_SHARE_WAIT_MILLIS
        val missingTokens = minOf(tokens, bucket.capacityTokens) - bucket.level
        return (missingTokens / bucket.tokensPerMilli).toLong().coerceAtLeast(0)
    }

    /** Returns the tokens that callers requested of each account since the last call. */
    public fun takeDemand(): Map<String, Double> = demandedTokens.toMap().also {
        demandedTokens.clear()
    }

    private fun bucketOf(account: AccountConfig, nowMillis: Long): TokenBucket? {
        val rate = account.tokensPerSecond ?: return null
        val share = shareOf(account.name)
        val capacityTokens = (account.burstTokens + extraBurstTokens()) * share
        val tokensPerMilli = rate * share / MILLIS_PER_SECOND
        val bucket = buckets[account.name]
            ?: TokenBucket(capacityTokens, tokensPerMilli, level = 0.0, atMillis = nowMillis)
        return bucket.refill(nowMillis).resize(capacityTokens, tokensPerMilli)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** The leader grants a missing share within about a second. */
        const val NO_SHARE_WAIT_MILLIS = 1_000L
    }
}
