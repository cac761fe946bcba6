/*
 * The tokens that client accounts may use at this instance. The fleet's rate and burst of an
 * account are divided into shares; each instance fills buckets by its own share only, so the sum
 * over the fleet is right whatever instances believe about each other.
 */
package mustarddale.serving.quota

import mustarddale.rate.TokenBucket
import mustarddale.serving.config.ServedAccount

/**
 * The buckets of all accounts at one instance; belongs to one thread.
 *
 * @param extraTokens what each account may use beyond its burst over the fleet, because it is
 *   divided among instances that its requests do not reach evenly.
 */
public class AccountQuota(private val extraTokens: () -> Double) {
    private val buckets = HashMap<String, TokenBucket>()
    private val wantedTokens = HashMap<String, Double>()
    private var shares = emptyMap<String, Double>()

    /** Sets this instance's share of each account, from 0 to 1; accounts not named have none. */
    public fun setShares(
        newShares: Map<String, Double>,
        accounts: Collection<ServedAccount>,
        nowMillis: Long
    ) {
        refill(accounts, nowMillis)
        shares = newShares
        refill(accounts, nowMillis)
    }

    /** Fills the buckets of [accounts] up to [nowMillis]. */
    public fun refill(accounts: Collection<ServedAccount>, nowMillis: Long) {
        accounts.forEach { account ->
            bucketOf(account, nowMillis)?.let { buckets[account.name] = it }
        }
    }

    /** Returns this instance's share of [account]. */
    public fun shareOf(account: String): Double = shares[account] ?: 0.0

    /**
     * Takes [tokens] of [account]; false if the share does not allow it. A request that is larger
     * than a full bucket passes when the bucket is full and leaves a debt.
     */
    public fun tryTake(account: ServedAccount, tokens: Double, nowMillis: Long): Boolean {
        wantedTokens.merge(account.name, tokens, Double::plus)
        val bucket = bucketOf(account, nowMillis) ?: return true
        val isAllowed = bucket.level > 0 && bucket.level >= minOf(tokens, bucket.capacityTokens)
        buckets[account.name] =
            if (isAllowed) bucket.copy(level = bucket.level - tokens) else bucket
        return isAllowed
    }

    /** Puts back what a request took that did not run. */
    public fun putBack(account: ServedAccount, tokens: Double) {
        buckets.computeIfPresent(account.name) { _, bucket -> bucket.deposit(tokens) }
    }

    /** Returns when [tokens] of [account] will be there, in milliseconds from [nowMillis]. */
    public fun waitMillis(account: ServedAccount, tokens: Double, nowMillis: Long): Long {
        val bucket = bucketOf(account, nowMillis) ?: return 0
        if (bucket.tokensPerMilli <= 0.0) return NO_SHARE_WAIT_MILLIS
        val missing = minOf(tokens, bucket.capacityTokens) - bucket.level
        return (missing / bucket.tokensPerMilli).toLong().coerceAtLeast(0)
    }

    /** Returns the tokens that callers wanted of each account since the last call. */
    public fun takeWanted(): Map<String, Double> = wantedTokens.toMap().also {
        wantedTokens.clear()
    }

    private fun bucketOf(account: ServedAccount, nowMillis: Long): TokenBucket? {
        val rate = account.tokensPerSecond ?: return null
        val share = shareOf(account.name)
        val capacity = (account.burstTokens + extraTokens()) * share
        val perMilli = rate * share / MILLIS_PER_SECOND
        val known = buckets[account.name]
            ?: TokenBucket(capacity, perMilli, level = 0.0, atMillis = nowMillis)
        return known.refill(nowMillis).resize(capacity, perMilli)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Shares are dealt within about a second. */
        const val NO_SHARE_WAIT_MILLIS = 1_000L
    }
}
