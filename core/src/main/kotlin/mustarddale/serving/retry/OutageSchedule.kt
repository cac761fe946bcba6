/*
 * When the readers of one store retry after failures. A failure of one reader may concern only its
 * connection, so it retries soon. During an outage all readers of a process fail, and each retry
 * costs the process and the store a call that shows the same: then the readers take turns, and the
 * first success lets all of them retry.
 */
package mustarddale.serving.retry

import java.util.random.RandomGenerator

/** The retries of one process's readers of a store; not thread-safe. */
public class OutageSchedule(private val random: RandomGenerator) {
    private var failuresInARow = 0
    private var nextTurnMillis = Long.MIN_VALUE

    /** Whether the last calls of all readers have failed. */
    public val isOutage: Boolean get() = failuresInARow >= MIN_OUTAGE_FAILURES

    /** Records a call that the store answered. */
    public fun recordSuccess() {
        failuresInARow = 0
        nextTurnMillis = Long.MIN_VALUE
    }

    /**
     * Records a call that failed at [nowMillis]. Returns after how many milliseconds its reader
     * retries: [delayMillis], or its turn if that is later.
     */
    public fun recordFailure(nowMillis: Long, delayMillis: Long): Long {
        failuresInARow++
        if (!isOutage) return delayMillis
        val turnMillis = maxOf(nowMillis + delayMillis, nextTurnMillis)
        nextTurnMillis = turnMillis + TURN_MILLIS + random.nextLong(TURN_MILLIS)
        return turnMillis - nowMillis
    }

    /** Returns a short delay of a retry after another reader's success, so that not all collide. */
    public fun delayAfterSuccess(): Long = random.nextLong(MAX_SPREAD_MILLIS)

    private companion object {
        /** Each of the readers (the election and two feeds) has failed once. */
        const val MIN_OUTAGE_FAILURES = 3

        /** Turns are half a second apart on average, at random as all processes fail together. */
        const val TURN_MILLIS = 333L

        /** A call takes a few milliseconds. */
        const val MAX_SPREAD_MILLIS = 20L
    }
}
