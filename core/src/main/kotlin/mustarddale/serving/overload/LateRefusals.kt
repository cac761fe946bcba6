/*
 * Chooses which requests an instance refuses while it is late: the least urgent first, and of the
 * kind that is refused in part those of the accounts above their fair part of the last second. Each
 * kind keeps at least a quarter of the chance of all, so that none starves.
 */
package mustarddale.serving.overload

import kotlin.math.exp

/** Chooses by the requests that arrived within about a second; not thread-safe. */
public class LateRefusals(private val gauge: LatenessGauge) {
    private val arrivals = HashMap<Int, HashMap<String, Double>>()
    private var decayedAtMillis = Long.MIN_VALUE / 2

    /**
     * Records a request of [account] with [priority], and returns in how many milliseconds its
     * caller should return if it is refused, null if it is not.
     *
     * @param remainingMillis how long its caller stays.
     */
    public fun retryAfterMillis(
        requestId: String,
        account: String,
        priority: Int,
        remainingMillis: Long,
        nowMillis: Long
    ): Long? {
        record(account, priority, nowMillis)
        if (!gauge.isLate) return null
        val chance = refusalChance(account, priority)
        // The time makes a request that returns not be refused again by its id.
        val epoch = nowMillis / EPOCH_MILLIS
        val sample = Math.floorMod(RetrySpread.mix(requestId.hashCode() + epoch.toInt()), SAMPLES)
        if (sample >= chance * SAMPLES) return null
        val recoveryMillis = (RECOVERY_MILLIS * gauge.level).toLong() + gauge.lagMillis
        return RetrySpread.retryAfterMillis(requestId, recoveryMillis, remainingMillis)
    }

    private fun record(account: String, priority: Int, nowMillis: Long) {
        val ageMillis = nowMillis - decayedAtMillis
        if (ageMillis >= DECAY_INTERVAL_MILLIS) {
            decayedAtMillis = nowMillis
            val factor = exp(-ageMillis / WINDOW_MILLIS)
            arrivals.values.forEach { counts ->
                counts.replaceAll { _, count -> count * factor }
                counts.values.removeIf { it < FORGOTTEN }
            }
            arrivals.values.removeIf { it.isEmpty() }
        }
        arrivals.getOrPut(priority) { HashMap() }.merge(account, 1.0, Double::plus)
    }

    /** Returns the chance that a request of [account] with [priority] is refused. */
    internal fun refusalChance(account: String, priority: Int): Double {
        val level = gauge.level
        val maxChance = 1 - (1 - level) * MIN_SERVED_PART
        var excess = level * arrivals.values.sumOf { it.values.sum() }
        arrivals.keys.sortedDescending().forEach { other ->
            val counts = arrivals.getValue(other)
            val total = counts.values.sum()
            val refused = minOf(excess, total * maxChance)
            if (other == priority) return chanceOf(counts[account] ?: 0.0, counts, refused)
            excess -= refused
        }
        return 0.0
    }

    /** Returns the chance for an account with [own] of [counts] if [refused] requests are. */
    private fun chanceOf(own: Double, counts: Map<String, Double>, refused: Double): Double {
        if (own <= 0 || refused <= 0) return 0.0
        val part = counts.values.sum() / counts.size
        val above = counts.values.sumOf { (it - part).coerceAtLeast(0.0) }
        val ownAbove = (own - part).coerceAtLeast(0.0)
        if (refused <= above) return refused * ownAbove / above / own
        // Where some accounts stand out, a level that is too high by now spares the others.
        val isUneven = above > counts.values.sum() * UNEVEN_PART
        val share = if (isUneven) gauge.lagShare else 1.0
        val rest = share * (refused - above) / (counts.values.sum() - above)
        return (ownAbove + (own - ownAbove) * rest) / own
    }

    private companion object {
        /** The window in which an account's requests count. */
        const val WINDOW_MILLIS = 1_000.0
        const val DECAY_INTERVAL_MILLIS = 50L
        const val FORGOTTEN = 0.05
        const val UNEVEN_PART = 0.2
        const val EPOCH_MILLIS = 100L
        const val SAMPLES = 1_024

        /** A kind is served at least a quarter as often as all requests together. */
        const val MIN_SERVED_PART = 0.3

        /** The time in which the highest level falls to 0. */
        const val RECOVERY_MILLIS = 2_500L
    }
}
