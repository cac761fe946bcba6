package mustarddale.instance.serving.leader

import mustarddale.serving.backend.FleetLoads
import mustarddale.serving.backend.ServerObservations
import mustarddale.time.MinInterval

/** What of the news of servers one member has been sent; not thread-safe. */
internal class ServerObservationsCursor {
    private val interval = MinInterval(INTERVAL_MILLIS)
    private var term = Long.MIN_VALUE
    private var number = 0L

    /**
     * Returns the news in [loads] of [leaderTerm] that the member lacks; null if there are none or
     * the last ones were sent a moment ago.
     */
    fun advance(leaderTerm: Long, loads: FleetLoads, nowMillis: Long): ServerObservations? {
        if (leaderTerm != term) {
            term = leaderTerm
            number = 0
        }
        if (number == loads.lastNumber || interval.waitMillis(nowMillis) > 0) return null
        interval.recordRun(nowMillis)
        val news = loads.since(number, nowMillis)
        number = loads.lastNumber
        return news.takeUnless { it.isEmpty }
    }

    private companion object {
        /**
         * At most four times a second, as a member gets a state after each report and whenever
         * something else has changed.
         */
        const val INTERVAL_MILLIS = 240L
    }
}
