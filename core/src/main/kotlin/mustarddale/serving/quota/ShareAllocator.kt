/*
 * Divides the accounts' rates among instances by demand. A share counts as held from before it is
 * granted until the instance has confirmed a smaller one, its process is replaced, or its lease has
 * run out; only what nobody can hold is granted out. So the shares in force never add up to more
 * than the total, whatever messages are lost. The rest of each rate is the leader's to lend, except
 * what instances out of its reach may use in its place (EffectiveShares).
 */
package mustarddale.serving.quota

import kotlin.math.ceil
import kotlinx.serialization.Serializable

/**
 * What an instance tells about its shares.
 *
 * @property heardMillis when the leader sent the newest message that the instance has taken in, by
 *   the leader's clock; null if the instance has taken in none of this leadership.
 */
public data class ShareReport(
    public val instance: String,
    public val run: String,
    public val confirmedRevision: Long,
    public val sharesInForce: Map<String, Double>,
    public val wantedTokens: Map<String, Double>,
    public val heardMillis: Long?
)

/** Shares for one instance. */
public data class ShareGrant(public val revision: Long, public val shares: Map<String, Double>)

/**
 * What an instance may hold at most, as a successor has to assume it.
 *
 * @property otherMaxShare its share of each account that [maxShares] does not name.
 * @property leftMillis how long its lease still lasts.
 */
@Serializable
public data class ShareHolder(
    public val instance: String,
    public val otherMaxShare: Double,
    public val leftMillis: Long,
    public val maxShares: Map<String, Double> = emptyMap()
) {
    /** Returns what the instance may hold at most of [account]. */
    public fun maxShare(account: String): Double = maxShares[account] ?: otherMaxShare

    /** Returns this holder with no more of any account than [other] says. */
    public fun atMost(other: ShareHolder): ShareHolder = copy(
        otherMaxShare = minOf(otherMaxShare, other.otherMaxShare),
        maxShares = (maxShares.keys + other.maxShares.keys)
            .associateWith { minOf(maxShare(it), other.maxShare(it)) }
    )
}

/**
 * The shares of all instances, kept by the leader; belongs to one thread.
 *
 * @param earlierHolders instances that may hold shares granted by earlier leaders.
 * @param total what all shares add up to, at most 1.
 * @param leaseMillis how long a granted share is valid, counted by the ledger from when it is
 *   granted.
 */
public class ShareAllocator(
    earlierHolders: Collection<ShareHolder>,
    private val total: Double,
    private val leaseMillis: Long,
    startMillis: Long
) {
    private val holdings = HashMap<String, Holding>()
    private val unresolved = earlierHolders.associateByTo(HashMap()) { it.instance }
    private val unresolvedSinceMillis = startMillis
    private var lastDemandMillis = startMillis
    private var confirmedFromMillis = Long.MIN_VALUE

    /** How many instances may hold shares. */
    public val holderCount: Int get() = (holdings.keys + unresolved.keys).size

    /** Returns what a successor has to assume, with room for the next grants. */
    public fun holders(nowMillis: Long): List<ShareHolder> {
        val accounts = holdings.values.flatMapTo(HashSet()) { it.demand.keys + it.accounts }
        val targets = accounts.associateWith { targets(it) }
        val otherShare = withHeadroom(total / holdings.size.coerceAtLeast(1))
        val known = holdings.map { (instance, holding) ->
            val maxShares = targets.mapValues { (account, target) ->
                withHeadroom(maxOf(target.getValue(instance), holding.most(account)))
            }
            ShareHolder(
                instance,
                otherShare,
                leaseMillis + LEASE_MARGIN_MILLIS,
                maxShares.filterValues { it > otherShare }
            )
        }
        return known + unresolved.values.map { it.copy(leftMillis = leftMillis(it, nowMillis)) }
    }

    /** Rounded up to four digits, which keeps the records small. */
    private fun withHeadroom(share: Double): Double =
        (ceil(share * HEADROOM * ROUNDING) / ROUNDING).coerceAtMost(total)

    private fun unresolvedShare(account: String): Double =
        unresolved.values.sumOf { it.maxShare(account) }

    private fun leftMillis(holder: ShareHolder, nowMillis: Long): Long =
        unresolvedSinceMillis + holder.leftMillis - nowMillis

    /** Takes in [report]; returns whether its instance, or its process, has not reported before. */
    public fun report(report: ShareReport, nowMillis: Long): Boolean {
        unresolved.remove(report.instance)
        val known = holdings[report.instance]?.takeIf { it.run == report.run }
        val holding = known ?: Holding(report.run, report.sharesInForce)
        holdings[report.instance] = holding
        holding.heardAtMillis = nowMillis
        if (report.confirmedRevision == holding.sent.revision) holding.held = holding.sent.shares
        report.wantedTokens.forEach { (account, tokens) ->
            holding.demand.merge(account, tokens, Double::plus)
        }
        report.heardMillis?.takeIf { it >= confirmedFromMillis }?.let { holding.heardOfMillis = it }
        return known == null
    }

    /**
     * Notes that the leader has told that it leads no more, so that instances may use the whole
     * rate at once; it may still find that it goes on leading.
     */
    public fun onLeadershipEnded(nowMillis: Long) {
        confirmedFromMillis = nowMillis
        holdings.values.forEach { it.heardOfMillis = null }
    }

    /**
     * Returns which part of the rate of [account] the leader may lend: all that is not granted,
     * less what instances may use that cannot be sure to have heard from it lately.
     */
    public fun lendableShare(account: String, nowMillis: Long): Double {
        val outOfReach = holdings.values
            .filter { EffectiveShares.mayBeAlone(it.heardOfMillis, nowMillis) }
            .sumOf { it.most(account) } + unresolvedShare(account)
        return ((1 - total) * (1 - outOfReach / total)).coerceAtLeast(0.0)
    }

    /**
     * Grants shares of [accounts] to all reporting instances, up to what a successor will assume by
     * [recorded].
     */
    public fun grant(
        accounts: Collection<String>,
        recorded: Collection<ShareHolder>,
        nowMillis: Long
    ): Map<String, ShareGrant> {
        forget(nowMillis)
        fadeDemand(nowMillis)
        val bounds = recorded.associateBy { it.instance }
        val granted = holdings.mapValues { HashMap<String, Double>() }
        for (account in accounts) {
            val available = (total - unresolvedShare(account)).coerceAtLeast(0.0)
            val targets = targets(account)
            var free = available - holdings.values.sumOf { it.most(account) }
            for ((instance, holding) in holdings) {
                // What unknown instances may hold is missing to all alike, not to the last ones.
                val part = targets.getValue(instance) * available / total
                val target = minOf(part, bounds[instance]?.maxShare(account) ?: 0.0)
                val most = holding.most(account)
                val raise = (target - most).coerceIn(0.0, free.coerceAtLeast(0.0))
                free -= raise
                val share = minOf(target, most + raise)
                if (share > 0) granted.getValue(instance)[account] = share
            }
        }
        return granted.mapValues { (instance, shares) -> holdings.getValue(instance).grant(shares) }
    }

    private fun targets(account: String): Map<String, Double> {
        val wanted = holdings.values.sumOf { it.demand[account] ?: 0.0 }
        return holdings.mapValues { (_, holding) ->
            val even = total / holdings.size
            if (wanted <= 0.0) return@mapValues even
            val byDemand = total * (holding.demand[account] ?: 0.0) / wanted
            EVEN_PART * even + (1 - EVEN_PART) * byDemand
        }
    }

    private fun forget(nowMillis: Long) {
        holdings.values.removeIf {
            nowMillis - it.heardAtMillis > leaseMillis + LEASE_MARGIN_MILLIS
        }
        unresolved.values.removeIf { leftMillis(it, nowMillis) <= 0 }
    }

    private fun fadeDemand(nowMillis: Long) {
        val elapsed = (nowMillis - lastDemandMillis).coerceAtLeast(0)
        lastDemandMillis = nowMillis
        val factor = Math.exp(-elapsed / DEMAND_LIFETIME_MILLIS)
        holdings.values.forEach { it.demand.replaceAll { _, tokens -> tokens * factor } }
    }

    private class Holding(val run: String, inherited: Map<String, Double>) {
        var held = inherited
        var sent = ShareGrant(revision = 0, shares = inherited)
        var heardAtMillis = 0L
        var heardOfMillis: Long? = null
        val demand = HashMap<String, Double>()
        val accounts: Set<String> get() = held.keys + sent.shares.keys

        fun most(account: String): Double = maxOf(held[account] ?: 0.0, sent.shares[account] ?: 0.0)

        fun grant(shares: Map<String, Double>): ShareGrant {
            if (shares == sent.shares && sent.revision > 0) return sent
            // What was sent before may be in force until this grant is confirmed.
            held = (held.keys + sent.shares.keys).associateWith { most(it) }
            sent = ShareGrant(sent.revision + 1, shares)
            return sent
        }
    }

    private companion object {
        /** Part that is divided evenly, so that an instance's first requests find tokens. */
        const val EVEN_PART = 0.3

        const val ROUNDING = 10_000

        /** Shares may grow by half before the next leadership record is written. */
        const val HEADROOM = 1.5

        /** Demand of the last seconds decides; bursts last three seconds and more. */
        const val DEMAND_LIFETIME_MILLIS = 2_000.0

        /** An instance counts its lease from before it reported, which was earlier. */
        const val LEASE_MARGIN_MILLIS = 500L
    }
}
