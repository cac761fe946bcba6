/*
 * Divides the accounts' rates among instances by demand. A share counts as held from before it is
 * dealt until the instance has confirmed a smaller one, its process is replaced, or its lease has
 * run out; only what nobody can hold is dealt out. So the shares in force never add up to more than
 * the total, whatever messages are lost.
 */
package mustarddale.serving.quota

/** What an instance tells about its shares. */
public data class ShareReport(
    public val instance: String,
    public val run: String,
    public val confirmedRevision: Long,
    public val sharesInForce: Map<String, Double>,
    public val wantedTokens: Map<String, Double>
)

/** Shares for one instance. */
public data class Deal(public val revision: Long, public val shares: Map<String, Double>)

/**
 * The shares of all instances, kept by the leader; belongs to one thread.
 *
 * @param earlierHolders instances that may hold shares dealt by earlier leaders.
 * @param total what all shares add up to, at most 1.
 * @param leaseMillis how long a dealt share is valid, counted by the ledger from when it is dealt.
 */
public class ShareLedger(
    earlierHolders: Collection<String>,
    private val total: Double,
    private val leaseMillis: Long,
    startMillis: Long
) {
    private val holdings = HashMap<String, Holding>()
    private val unresolved = earlierHolders.toHashSet()
    private val unresolvedUntilMillis = startMillis + leaseMillis
    private var lastDemandMillis = startMillis

    /** Instances that may hold shares. */
    public val holders: Set<String> get() = holdings.keys + unresolved

    /** Instances that reported and still count. */
    public val reporting: Set<String> get() = holdings.keys

    /** Takes in [report]. */
    public fun report(report: ShareReport, nowMillis: Long) {
        unresolved.remove(report.instance)
        val known = holdings[report.instance]?.takeIf { it.run == report.run }
        val holding = known ?: Holding(report.run, report.sharesInForce)
        holdings[report.instance] = holding
        holding.heardAtMillis = nowMillis
        if (report.confirmedRevision == holding.sent.revision) holding.held = holding.sent.shares
        report.wantedTokens.forEach { (account, tokens) ->
            holding.demand.merge(account, tokens, Double::plus)
        }
    }

    /**
     * Deals shares of [accounts] to all reporting instances that are in [mayHold], the instances
     * that a successor will know of.
     */
    public fun deal(
        accounts: Collection<String>,
        mayHold: Set<String>,
        nowMillis: Long
    ): Map<String, Deal> {
        forget(nowMillis)
        fadeDemand(nowMillis)
        val dealt = holdings.mapValues { HashMap<String, Double>() }
        for (account in accounts) {
            val targets = targets(account)
            var free =
                total - reserved(account, nowMillis) - holdings.values.sumOf { it.most(account) }
            for ((instance, holding) in holdings) {
                if (instance !in mayHold) continue
                val most = holding.most(account)
                val raise = (
                    targets.getValue(
                        instance
                    ) - most
                    ).coerceIn(0.0, free.coerceAtLeast(0.0))
                free -= raise
                val share = minOf(targets.getValue(instance), most + raise)
                if (share > 0) dealt.getValue(instance)[account] = share
            }
        }
        return dealt.mapValues { (instance, shares) -> holdings.getValue(instance).deal(shares) }
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

    private fun reserved(account: String, nowMillis: Long): Double {
        if (unresolved.isEmpty() || nowMillis >= unresolvedUntilMillis) return 0.0
        return (total - holdings.values.sumOf { it.inherited[account] ?: 0.0 }).coerceAtLeast(0.0)
    }

    private fun forget(nowMillis: Long) {
        holdings.values.removeIf {
            nowMillis - it.heardAtMillis > leaseMillis + LEASE_MARGIN_MILLIS
        }
        if (nowMillis >= unresolvedUntilMillis) unresolved.clear()
    }

    private fun fadeDemand(nowMillis: Long) {
        val elapsed = (nowMillis - lastDemandMillis).coerceAtLeast(0)
        lastDemandMillis = nowMillis
        val factor = Math.exp(-elapsed / DEMAND_LIFETIME_MILLIS)
        holdings.values.forEach { it.demand.replaceAll { _, tokens -> tokens * factor } }
    }

    private class Holding(val run: String, val inherited: Map<String, Double>) {
        var held = inherited
        var sent = Deal(revision = 0, shares = inherited)
        var heardAtMillis = 0L
        val demand = HashMap<String, Double>()

        fun most(account: String): Double = maxOf(held[account] ?: 0.0, sent.shares[account] ?: 0.0)

        fun deal(shares: Map<String, Double>): Deal {
            if (shares == sent.shares && sent.revision > 0) return sent
            // What was sent before may be in force until this deal is confirmed.
            held = (held.keys + sent.shares.keys).associateWith { most(it) }
            sent = Deal(sent.revision + 1, shares)
            return sent
        }
    }

    private companion object {
        /** Part that is divided evenly, so that an instance's first requests find tokens. */
        const val EVEN_PART = 0.3

        /** Demand of the last seconds decides; bursts last three seconds and more. */
        const val DEMAND_LIFETIME_MILLIS = 2_000.0

        /** An instance counts its lease from before it reported, which was earlier. */
        const val LEASE_MARGIN_MILLIS = 500L
    }
}
