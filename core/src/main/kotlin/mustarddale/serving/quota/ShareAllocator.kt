/*
 * Divides the rates of client accounts among instances by demand: each instance is granted a share
 * of each rate, from 0 to 1. A share counts as held from the moment before it is granted until the
 * instance has confirmed a smaller one, its process has been replaced, or its lease has expired;
 * only what no instance can hold is granted. A process that is known to have ended holds nothing.
 * The shares in use therefore never add up to more than the total, even if messages are lost. The
 * leader lends the rest of each rate, less what unreachable instances may use instead (see
 * EffectiveShares).
 */
package mustarddale.serving.quota

import kotlin.math.ceil
import kotlinx.serialization.Serializable
import mustarddale.serving.leadership.InstanceAddress

/**
 * An instance's report to the leader on its shares.
 *
 * @property run identifies the process of the instance.
 * @property confirmedRevision the revision of the newest grant that the instance uses.
 * @property currentShares the shares in use, by account.
 * @property requestedTokens the tokens that callers requested since the last report, by account.
 * @property confirmedSentMillis when the leader sent the newest message that the instance has
 *   processed, by the leader's clock; null if it has processed none of the current leader.
 * @property address where its process listens, null if that is known from an earlier report.
 */
public data class ShareReport(
    public val instance: String,
    public val run: String,
    public val confirmedRevision: Long,
    public val currentShares: Map<String, Double>,
    public val requestedTokens: Map<String, Double>,
    public val confirmedSentMillis: Long?,
    public val address: InstanceAddress? = null
)

/** The shares granted to one instance, by account. */
public data class ShareGrant(public val revision: Long, public val shares: Map<String, Double>)

/**
 * The largest shares that an instance may hold, as recorded for the next leader.
 *
 * @property otherMaxShare the limit for each account that is not in [maxShares].
 * @property leftMillis the remaining duration of the lease at the time of the record.
 * @property address where the process listens, null if it is not known.
 */
@Serializable
public data class ShareHolder(
    public val instance: String,
    public val otherMaxShare: Double,
    public val leftMillis: Long,
    public val maxShares: Map<String, Double> = emptyMap(),
    public val address: InstanceAddress? = null
) {
    /** Returns the largest share of [account] that the instance may hold. */
    public fun maxShare(account: String): Double = maxShares[account] ?: otherMaxShare

    /** Returns this holder with the smaller of both limits for each account. */
    public fun atMost(other: ShareHolder): ShareHolder = copy(
        otherMaxShare = minOf(otherMaxShare, other.otherMaxShare),
        maxShares = (maxShares.keys + other.maxShares.keys)
            .associateWith { minOf(maxShare(it), other.maxShare(it)) }
    )
}

/**
 * Allocates the shares of all instances on the leader; not thread-safe.
 *
 * @param earlierHolders instances that may hold shares granted by earlier leaders.
 * @param total the sum of all shares of an account, at most 1.
 * @param leaseMillis how long a share is valid, counted here from the time of its grant.
 */
public class ShareAllocator(
    earlierHolders: Collection<ShareHolder>,
    private val total: Double,
    private val leaseMillis: Long,
    startMillis: Long
) {
    private val holdings = HashMap<String, Holding>()
    private val unreportedHolders = earlierHolders.associateByTo(HashMap()) { it.instance }

    /** The limits of instances whose processes have ended, for their next processes. */
    private val endedHolders = HashMap<String, ShareHolder>()
    private val startedAtMillis = startMillis
    private var demandDecayedAtMillis = startMillis
    private var minConfirmedSentMillis = Long.MIN_VALUE

    /** The number of instances that may hold shares. */
    public val holderCount: Int get() = holderNames.size

    /** The instances that may hold shares. */
    public val holderNames: Set<String> get() = holdings.keys + unreportedHolders.keys

    /** The instances whose shares of earlier leaders count, because they have not reported yet. */
    public val unreportedInstances: Set<String> get() = unreportedHolders.keys

    /** Returns how many of these instances have a name that is before [instance] in order. */
    public fun rankOf(instance: String): Int =
        (holdings.keys + unreportedHolders.keys).count { it < instance }

    /** Returns the holders to record for the next leader, with headroom for the next grants. */
    public fun holders(nowMillis: Long): List<ShareHolder> {
        val accounts = holdings.values.flatMapTo(HashSet()) { it.demand.keys + it.accounts }
        val targets = accounts.associateWith { targets(it) }
        val otherMaxShare = withHeadroom(total / holdings.size.coerceAtLeast(1))
        val known = holdings.map { (instance, holding) ->
            val maxShares = targets.mapValues { (account, target) ->
                withHeadroom(maxOf(target.getValue(instance), holding.maxShare(account)))
            }
            ShareHolder(
                instance,
                otherMaxShare,
                leaseMillis + LEASE_MARGIN_MILLIS,
                maxShares.filterValues { it > otherMaxShare },
                holding.address
            )
        }
        val earlier = unreportedHolders + endedHolders
        return known + earlier.values.map { it.copy(leftMillis = leftMillis(it, nowMillis)) }
    }

    /** Returns where the processes listen that may hold shares and have not reported lately. */
    public fun silentHolders(nowMillis: Long): Map<String, InstanceAddress> {
        val silent = holdings.filterValues { nowMillis - it.reportedAtMillis >= SILENT_MILLIS }
            .mapValues { it.value.address }
        val unreported = unreportedHolders.mapValues { it.value.address }
        return (unreported + silent)
            .mapNotNull { (instance, address) -> address?.let { instance to it } }.toMap()
    }

    /**
     * Records that the process of [instance] had ended at [atMillis], and holds no shares. The next
     * process may be granted as much at once, without a new record.
     */
    public fun recordEnded(instance: String, atMillis: Long) {
        val hasReportedSince = holdings[instance]?.let { it.reportedAtMillis >= atMillis } ?: false
        if (hasReportedSince) return
        val unreported = unreportedHolders.remove(instance)
        val reported = holdings.remove(instance)?.let { limitsOf(instance, it, atMillis) }
        (reported ?: unreported)?.let { endedHolders[instance] = it }
    }

    private fun limitsOf(instance: String, holding: Holding, nowMillis: Long) = ShareHolder(
        instance,
        withHeadroom(total / (holdings.size + 1)),
        nowMillis - startedAtMillis + leaseMillis + LEASE_MARGIN_MILLIS,
        holding.accounts.associateWith { withHeadroom(holding.maxShare(it)) },
        holding.address
    )

    /** Adds headroom and rounds up to four decimal places, which keeps the records small. */
    private fun withHeadroom(share: Double): Double =
        (ceil(share * GROWTH_HEADROOM * SHARE_STEPS) / SHARE_STEPS).coerceAtMost(total)

    private fun unreportedShare(account: String): Double =
        unreportedHolders.values.sumOf { it.maxShare(account) }

    private fun leftMillis(holder: ShareHolder, nowMillis: Long): Long =
        startedAtMillis + holder.leftMillis - nowMillis

    /** Processes [report]; returns whether it is the first one of its instance or process. */
    public fun report(report: ShareReport, nowMillis: Long): Boolean {
        unreportedHolders.remove(report.instance)
        endedHolders.remove(report.instance)
        val known = holdings[report.instance]?.takeIf { it.run == report.run }
        val holding = known ?: Holding(report.run, report.currentShares)
        holdings[report.instance] = holding
        holding.reportedAtMillis = nowMillis
        report.address?.let { holding.address = it }
        if (report.confirmedRevision == holding.sent.revision) holding.prior = holding.sent.shares
        report.requestedTokens.forEach { (account, tokens) ->
            holding.demand.merge(account, tokens, Double::plus)
        }
        report.confirmedSentMillis?.takeIf { it >= minConfirmedSentMillis }
            ?.let { holding.confirmedSentMillis = it }
        return known == null
    }

    /**
     * Records that this leader has announced the end of its leadership, after which instances may
     * use the whole rate at once. Earlier confirmations no longer count, because the leadership may
     * go on after all.
     */
    public fun onLeadershipEnded(nowMillis: Long) {
        minConfirmedSentMillis = nowMillis
        holdings.values.forEach { it.confirmedSentMillis = null }
    }

    /**
     * Returns the fraction of the rate of [account] that the leader may lend: the part that is not
     * granted as shares, less what instances may use that have not confirmed a recent message.
     */
    public fun lendableShare(account: String, nowMillis: Long): Double {
        val unreachableShare = holdings.values
            .filter { EffectiveShares.mayBeLeaderless(it.confirmedSentMillis, nowMillis) }
            .sumOf { it.maxShare(account) } + unreportedShare(account)
        return ((1 - total) * (1 - unreachableShare / total)).coerceAtLeast(0.0)
    }

    /**
     * Grants shares of [accounts] to all reporting instances, up to the limits in [recorded], on
     * which the next leader will rely.
     */
    public fun grant(
        accounts: Collection<String>,
        recorded: Collection<ShareHolder>,
        nowMillis: Long
    ): Map<String, ShareGrant> {
        removeExpired(nowMillis)
        decayDemand(nowMillis)
        val limits = recorded.associateBy { it.instance }
        val granted = holdings.mapValues { HashMap<String, Double>() }
        for (account in accounts) {
            val available = (total - unreportedShare(account)).coerceAtLeast(0.0)
            val targets = targets(account)
            var unallocated = available - holdings.values.sumOf { it.maxShare(account) }
            for ((instance, holding) in holdings) {
                // Shares of unreported instances reduce all targets alike, not only the last ones.
                val scaledTarget = targets.getValue(instance) * available / total
                val target = minOf(scaledTarget, limits[instance]?.maxShare(account) ?: 0.0)
                val maxShare = holding.maxShare(account)
                val increase = (target - maxShare).coerceIn(0.0, unallocated.coerceAtLeast(0.0))
                unallocated -= increase
                val share = minOf(target, maxShare + increase)
                if (share > 0) granted.getValue(instance)[account] = share
            }
        }
        return granted.mapValues { (instance, shares) -> holdings.getValue(instance).grant(shares) }
    }

    private fun targets(account: String): Map<String, Double> {
        val totalDemand = holdings.values.sumOf { it.demand[account] ?: 0.0 }
        return holdings.mapValues { (_, holding) ->
            val evenShare = total / holdings.size
            if (totalDemand <= 0.0) return@mapValues evenShare
            val demandShare = total * (holding.demand[account] ?: 0.0) / totalDemand
            EVEN_FRACTION * evenShare + (1 - EVEN_FRACTION) * demandShare
        }
    }

    private fun removeExpired(nowMillis: Long) {
        holdings.values.removeIf {
            nowMillis - it.reportedAtMillis > leaseMillis + LEASE_MARGIN_MILLIS
        }
        unreportedHolders.values.removeIf { leftMillis(it, nowMillis) <= 0 }
        endedHolders.values.removeIf { leftMillis(it, nowMillis) <= 0 }
    }

    private fun decayDemand(nowMillis: Long) {
        val elapsedMillis = (nowMillis - demandDecayedAtMillis).coerceAtLeast(0)
        demandDecayedAtMillis = nowMillis
        val factor = Math.exp(-elapsedMillis / DEMAND_DECAY_MILLIS)
        holdings.values.forEach { it.demand.replaceAll { _, tokens -> tokens * factor } }
    }

    private class Holding(val run: String, reportedShares: Map<String, Double>) {
        /** Shares from before [sent] that may still be in use. */
        var prior = reportedShares

        /** The newest grant. */
        var sent = ShareGrant(revision = 0, shares = reportedShares)
        var reportedAtMillis = 0L
        var address: InstanceAddress? = null
        var confirmedSentMillis: Long? = null
        val demand = HashMap<String, Double>()
        val accounts: Set<String> get() = prior.keys + sent.shares.keys

        fun maxShare(account: String): Double =
            maxOf(prior[account] ?: 0.0, sent.shares[account] ?: 0.0)

        fun grant(shares: Map<String, Double>): ShareGrant {
            if (shares == sent.shares && sent.revision > 0) return sent
            // Earlier shares may be in use until the instance confirms this grant.
            prior = (prior.keys + sent.shares.keys).associateWith { maxShare(it) }
            sent = ShareGrant(sent.revision + 1, shares)
            return sent
        }
    }

    private companion object {
        /** Fraction that is divided evenly, so that an instance's first requests find tokens. */
        const val EVEN_FRACTION = 0.3

        /** The resolution of recorded shares: steps per whole rate. */
        const val SHARE_STEPS = 10_000

        /** Shares may grow by half until the next leadership record is written. */
        const val GROWTH_HEADROOM = 1.5

        /** Recent demand decides, as bursts last three seconds or more. */
        const val DEMAND_DECAY_MILLIS = 2_000.0

        /** Two report intervals. */
        const val SILENT_MILLIS = 500L

        /** An instance counts its lease from the earlier time at which it sent its report. */
        const val LEASE_MARGIN_MILLIS = 500L
    }
}
