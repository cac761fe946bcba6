/*
 * Estimates how often a place becomes free at the servers of one service and model, as one instance
 * sees it. While requests wait, the intervals at which places appear are observed. Before, the
 * interval follows from the requests that this instance has at the servers and from how long they
 * take, as each one leaves a place when it ends.
 */
package mustarddale.serving.overload

/** The estimate for one service and model; not thread-safe. */
public class RoomEstimate {
    private var inFlight = 0
    private var durationMillis = DEFAULT_DURATION_MILLIS
    private var observedMillis: Double? = null
    private var observedAtMillis = Long.MIN_VALUE / 2
    private var lastPlaceMillis = Long.MIN_VALUE / 2
    private var nextReturnMillis = 0.0

    /** Whether the estimate has nothing that is worth keeping at [nowMillis]. */
    public fun isStale(nowMillis: Long): Boolean =
        inFlight == 0 && nowMillis - lastPlaceMillis > KEPT_MILLIS

    /** Records that a request of this instance was sent. */
    public fun recordSent() {
        inFlight++
    }

    /** Records that a request of this instance has ended after [millis] at its server. */
    public fun recordEnded(millis: Long, nowMillis: Long) {
        inFlight = (inFlight - 1).coerceAtLeast(0)
        durationMillis += (millis - durationMillis) * SMOOTHING
        lastPlaceMillis = maxOf(lastPlaceMillis, nowMillis)
    }

    /** Records that the first request begins to wait. */
    public fun beginBacklog(nowMillis: Long) {
        if (nowMillis - observedAtMillis > KEPT_MILLIS) observedMillis = null
        lastPlaceMillis = nowMillis
    }

    /** Records that a waiting request has got a place. */
    public fun recordPlace(nowMillis: Long) {
        val sample = (nowMillis - lastPlaceMillis).coerceIn(0, MAX_INTERVAL_MILLIS).toDouble()
        val before = observedMillis ?: priorMillis()
        observedMillis = before + (sample - before) * SMOOTHING
        observedAtMillis = nowMillis
        lastPlaceMillis = nowMillis
    }

    /**
     * Returns the expected interval between two places in milliseconds. It grows while no place
     * appears, so that a server that has stopped is noticed.
     *
     * @param isBacklogged whether requests wait, so that the time since the last place counts.
     */
    public fun intervalMillis(isBacklogged: Boolean, nowMillis: Long): Double {
        val expected = observedMillis?.takeIf { nowMillis - observedAtMillis <= KEPT_MILLIS }
            ?: priorMillis()
        val silence = if (isBacklogged) (nowMillis - lastPlaceMillis).toDouble() else 0.0
        return maxOf(expected, silence - expected).coerceIn(MIN_INTERVAL_MILLIS, MAX_INTERVAL)
    }

    /** Like [intervalMillis], but null if nothing was observed and no time has passed without. */
    public fun observedIntervalMillis(isBacklogged: Boolean, nowMillis: Long): Double? {
        val observed = observedMillis?.takeIf { nowMillis - observedAtMillis <= KEPT_MILLIS }
        val silence = if (isBacklogged) (nowMillis - lastPlaceMillis).toDouble() else 0.0
        return if (observed == null && silence <= 0) null else maxOf(observed ?: 0.0, silence)
    }

    /**
     * Returns after which time a refused caller should return that would find room in [waitMillis]
     * if it were the only one: callers get one interval each, so that they do not find a full queue
     * again. The time is not counted beyond the [remainingMillis] of the caller.
     */
    public fun returnAfterMillis(
        waitMillis: Long,
        remainingMillis: Long,
        isBacklogged: Boolean,
        nowMillis: Long
    ): Long {
        val interval = intervalMillis(isBacklogged, nowMillis)
        val atMillis = maxOf(nowMillis + waitMillis.toDouble(), nextReturnMillis + interval)
        nextReturnMillis = minOf(atMillis, nowMillis + remainingMillis.toDouble())
        return (atMillis - nowMillis).toLong()
    }

    private fun priorMillis(): Double = durationMillis / inFlight.coerceAtLeast(ASSUMED_IN_FLIGHT)

    private companion object {
        /** About the last five events count. */
        const val SMOOTHING = 0.2

        /** About the duration of a stream of 35 events. */
        const val DEFAULT_DURATION_MILLIS = 900.0

        /**
         * Other instances' requests leave places too, so that an instance without requests at the
         * servers still expects room.
         */
        const val ASSUMED_IN_FLIGHT = 6

        /** Loads change within seconds, so that an older observation says nothing. */
        const val KEPT_MILLIS = 5_000L
        const val MIN_INTERVAL_MILLIS = 1.0
        const val MAX_INTERVAL_MILLIS = 10_000L
        const val MAX_INTERVAL = 10_000.0
    }
}
