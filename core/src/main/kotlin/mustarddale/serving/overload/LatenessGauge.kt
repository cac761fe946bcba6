/*
 * Decides whether an instance runs late, from the lag of its event loop: the time from when a
 * periodic task is due until it runs. Everything an instance does shares the loop, so every request
 * waits about as long. Refusing a request costs about a seventh of serving it, so an instance that
 * refuses some serves the others in time.
 */
package mustarddale.serving.overload

/** The lateness of one event loop; not thread-safe. */
public class LatenessGauge {
    private var aboveSinceMillis: Long? = null
    private var roundsAbove = 0
    private var recordedAtMillis = 0L
    private var belowSinceMillis: Long? = null

    /** The lag that was measured last, in milliseconds. */
    public var lagMillis: Long = 0
        private set

    /** The part of the requests that is to be refused, 0 while the loop is in time. */
    public var level: Double = 0.0
        private set

    /** The lag as a part of the threshold, at most 1. */
    internal val lagShare: Double get() = (lagMillis.toDouble() / ON_MILLIS).coerceAtMost(1.0)

    /** Whether the loop is late. */
    public val isLate: Boolean get() = level > 0

    /** Records that the loop ran a task [lagMillis] late at [nowMillis]. */
    public fun record(lagMillis: Long, nowMillis: Long) {
        val elapsedMillis = (nowMillis - recordedAtMillis).coerceIn(0, MAX_ELAPSED_MILLIS)
        recordedAtMillis = nowMillis
        this.lagMillis = lagMillis
        when {
            lagMillis >= ON_MILLIS -> recordAbove(nowMillis, elapsedMillis)

            lagMillis < OFF_MILLIS -> recordBelow(nowMillis, elapsedMillis)

            // Between the two, what is refused seems right.
            else -> {
                aboveSinceMillis = null
                belowSinceMillis = null
            }
        }
    }

    private fun recordAbove(nowMillis: Long, elapsedMillis: Long) {
        belowSinceMillis = null
        if (aboveSinceMillis == null) roundsAbove = 0
        val sinceMillis = aboveSinceMillis ?: nowMillis.also { aboveSinceMillis = it }
        roundsAbove++
        // A pause of the whole process makes one round late, but the next one is in time.
        val isLasting = roundsAbove >= MIN_ROUNDS && nowMillis - sinceMillis >= LASTING_MILLIS
        if (!isLate && !isLasting) return
        val excess = (lagMillis.toDouble() / ON_MILLIS).coerceAtMost(MAX_EXCESS)
        val raised = level + excess * elapsedMillis / RISE_MILLIS
        // A loop that is far behind measures seldom, so that small steps would take too long.
        val atLeast = (lagMillis - ON_MILLIS) / FULL_LAG_MILLIS
        level = maxOf(raised, atLeast).coerceAtMost(MAX_LEVEL)
    }

    private fun recordBelow(nowMillis: Long, elapsedMillis: Long) {
        aboveSinceMillis = null
        val sinceMillis = belowSinceMillis ?: nowMillis.also { belowSinceMillis = it }
        if (!isLate || nowMillis - sinceMillis < LASTING_MILLIS) return
        level = (level - elapsedMillis / FALL_MILLIS).coerceAtLeast(0.0)
    }

    /** Returns when to measure again, in milliseconds; rarely while the loop is in time. */
    public val intervalMillis: Long
        get() = if (isLate || lagMillis >= OFF_MILLIS) LATE_INTERVAL_MILLIS else INTERVAL_MILLIS

    private companion object {
        /** A third to two fifths of the most urgent latency targets. */
        const val ON_MILLIS = 100L
        const val OFF_MILLIS = 33L

        /** Shorter lags come with a collection of garbage or a burst that is over by itself. */
        const val LASTING_MILLIS = 200L
        const val MIN_ROUNDS = 2

        /** At the threshold, the level rises by a tenth in a tenth of a second. */
        const val RISE_MILLIS = 8_000.0
        const val MAX_EXCESS = 4.0

        /** Falls slower than it rises, so that the loop stays in time during a burst. */
        const val FALL_MILLIS = 5_000.0

        /** With a lag of a second above the threshold, all that may be refused is refused. */
        const val FULL_LAG_MILLIS = 600.0

        /** A pause of the process does not count as time in which the loop was late. */
        const val MAX_ELAPSED_MILLIS = 250L

        /** Some requests are always served, so that it shows when the loop is in time again. */
        const val MAX_LEVEL = 0.9
        const val LATE_INTERVAL_MILLIS = 25L
        const val INTERVAL_MILLIS = 100L
    }
}
