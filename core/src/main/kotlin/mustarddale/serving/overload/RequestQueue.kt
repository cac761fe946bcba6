/*
 * The requests that wait for room at the servers of one service and model. The order is priority,
 * then fair shares of the accounts, then requests that can still be answered within their targets,
 * then the time by which a request must have begun. Without the third rule, every request of a
 * lasting overload would wait as long as its caller stays, and none would be answered in time.
 * Requests that have missed their targets get what the others of their account leave. Every
 * FLOOR_INTERVAL-th place goes to the priority whose last place is longest ago, and there to the
 * request that has waited longest, so that nothing starves.
 *
 * Shares follow a virtual time: an account's clock advances by the cost of what it gets, and the
 * account with the earliest clock is next. An account that begins to wait starts close to the
 * current virtual time, so it saves up only a little of what it did not use, for its usual bursts,
 * and does not pay for what it was lent.
 */
package mustarddale.serving.overload

/** A queue of at most [maxEntries] requests; not thread-safe. */
public class RequestQueue(
    private val room: RoomEstimate,
    private val maxEntries: Int = MAX_ENTRIES
) {
    private val waiting = ArrayList<QueueEntry>()
    private val lateRooms = LateRooms()
    private val counts = HashMap<String, Int>()
    private val clocks = HashMap<String, Double>()
    private var virtualTime = 0.0
    private var placeCount = 0
    private var usedAtMillis = Long.MIN_VALUE / 2
    private var estimatedAtMillis = Long.MIN_VALUE / 2
    private val lastPlaces = HashMap<Int, Int>()

    /** The waiting requests, in no order. */
    public val entries: List<QueueEntry> get() = waiting

    /** Number of waiting requests. */
    public val size: Int get() = waiting.size

    /** The time since which the longest waiting request has been waiting, null if none waits. */
    public val oldestMillis: Long? get() = waiting.minOfOrNull { it.sinceMillis }

    /** The priority of the most urgent waiting request, null if none waits. */
    public val topPriority: Int? get() = waiting.minOfOrNull { it.priority }

    /** Whether a new request of [priority] has to wait behind others for the same servers. */
    public fun holdsBack(priority: Int): Boolean =
        waiting.any { !it.isRestricted && it.priority <= priority }

    /** Lets [entry] wait, or refuses it. */
    public fun offer(entry: QueueEntry, nowMillis: Long): QueueDecision {
        lateRooms.observe(waiting, nowMillis)
        val waitMillis = expectedWaitMillis(entry, nowMillis)
        if (nowMillis + waitMillis > entry.beginByMillis) {
            return refuse(entry, RefusalReason.TOO_LATE, waitMillis, nowMillis)
        }
        var evicted: QueueEntry? = null
        if (waiting.size >= maxEntries) {
            evicted = victimFor(entry)
                ?: return refuse(entry, RefusalReason.QUEUE_FULL, waitMillis, nowMillis)
            remove(evicted)
        }
        add(entry, nowMillis)
        return QueueDecision.Wait(evicted)
    }

    /** Whether nothing waits, and nothing did for so long that shares are no longer counted. */
    public fun isIdle(nowMillis: Long): Boolean =
        waiting.isEmpty() && nowMillis - usedAtMillis > SHARES_KEPT_MILLIS

    /** Puts [entry] back, which was taken but found no room. */
    public fun putBack(entry: QueueEntry, nowMillis: Long) {
        // What it paid for the place is returned.
        clocks.computeIfPresent(entry.account) { _, clock -> clock - entry.cost }
        add(entry, nowMillis)
    }

    private fun add(entry: QueueEntry, nowMillis: Long) {
        if (waiting.isEmpty()) {
            room.beginBacklog(nowMillis)
            if (isIdle(nowMillis)) {
                clocks.clear()
                lastPlaces.clear()
                lateRooms.clear()
                virtualTime = 0.0
            }
        }
        usedAtMillis = nowMillis
        if (counts.merge(entry.account, 1, Int::plus) == 1) {
            clocks.merge(entry.account, virtualTime - CREDIT_REQUESTS * entry.cost, ::maxOf)
        }
        waiting += entry
    }

    /**
     * Takes the next request, if it [hasRoom]; null if none can go on. Requests that may use only
     * some servers do not hold back those behind them.
     */
    public fun take(nowMillis: Long, hasRoom: (QueueEntry) -> Boolean): QueueEntry? {
        lateRooms.observe(waiting, nowMillis)
        val isFloor = (placeCount + 1) % FLOOR_INTERVAL == 0
        val neglected = if (isFloor) neglected() else null
        val taken = neglected?.takeIf(hasRoom) ?: nextWithRoom(nowMillis, hasRoom) ?: return null
        remove(taken)
        usedAtMillis = nowMillis
        placeCount++
        lastPlaces[taken.priority] = placeCount
        room.recordPlace(nowMillis)
        if (taken.isLate(nowMillis)) lateRooms.recordPlace(taken, nowMillis)
        val clock = clocks[taken.account] ?: virtualTime
        if (taken !== neglected) virtualTime = maxOf(virtualTime, clock)
        clocks[taken.account] = clock + taken.cost
        return taken
    }

    private fun neglected(): QueueEntry? {
        val first = waiting.firstOrNull()?.priority
        // Within one priority, shares keep every account from starving.
        if (waiting.all { it.priority == first }) return null
        return waiting.minWithOrNull(
            compareBy({ lastPlaces[it.priority] ?: 0 }, { it.sinceMillis })
        )
    }

    private fun nextWithRoom(nowMillis: Long, hasRoom: (QueueEntry) -> Boolean): QueueEntry? {
        val order = orderAt(nowMillis)
        waiting.filter { !it.isRestricted }.minWithOrNull(order)?.takeIf(hasRoom)
            ?.let { return it }
        return waiting.filter { it.isRestricted }.sortedWith(order).take(MAX_RESTRICTED_TRIED)
            .firstOrNull(hasRoom)
    }

    /** Charges [account] for a more urgent request that was sent while others wait. */
    public fun charge(account: String, cost: Double) {
        if (waiting.isEmpty()) return
        clocks[account] = maxOf(clocks[account] ?: 0.0, virtualTime) + cost
    }

    /** Removes [entry], whose caller has left; false if it did not wait. */
    public fun remove(entry: QueueEntry): Boolean {
        if (!waiting.remove(entry)) return false
        counts.computeIfPresent(entry.account) { _, count -> (count - 1).takeIf { it > 0 } }
        return true
    }

    /** Removes and returns the requests that can no longer begin in time, with their refusals. */
    public fun removeLate(nowMillis: Long): List<Pair<QueueEntry, QueueDecision.Refuse>> {
        if (waiting.isEmpty()) return emptyList()
        val mayEstimate = nowMillis - estimatedAtMillis >= ESTIMATE_INTERVAL_MILLIS
        if (mayEstimate) estimatedAtMillis = nowMillis
        val hopeless = if (mayEstimate) hopeless(nowMillis) else emptyList()
        val late = waiting.filter { nowMillis > it.beginByMillis } +
            hopeless.filter { nowMillis <= it.beginByMillis }
        val refused = late.map { it to refuse(it, RefusalReason.TOO_LATE, nowMillis) }
        late.forEach { remove(it) }
        return refused
    }

    /** Returns the late requests whose turn is not expected before their callers leave. */
    private fun hopeless(nowMillis: Long): List<QueueEntry> {
        lateRooms.observe(waiting, nowMillis)
        val late = waiting.filter { it.isLate(nowMillis) }
        if (late.isEmpty()) return emptyList()
        val interval = room.intervalMillis(true, nowMillis)
        return late.groupBy { Rivals(it) }.flatMap { (rivals, own) ->
            val lateInterval = lateIntervalMillis(rivals, nowMillis)
            own.sortedBy { it.beginByMillis }.filterIndexed { rank, entry ->
                val waitMillis =
                    minOf((rank + 1) * lateInterval, floorPlaces(entry) * interval)
                // Estimates vary, so a request that waits is given more time than a new one.
                waitMillis > (entry.beginByMillis - nowMillis) * LATE_MARGIN + LATE_MARGIN_MILLIS
            }
        }
    }

    /** Returns the refusal of [entry] for [reason]. */
    public fun refuse(
        entry: QueueEntry,
        reason: RefusalReason,
        nowMillis: Long
    ): QueueDecision.Refuse = refuse(entry, reason, expectedWaitMillis(entry, nowMillis), nowMillis)

    private fun refuse(
        entry: QueueEntry,
        reason: RefusalReason,
        waitMillis: Long,
        nowMillis: Long
    ) = QueueDecision.Refuse(
        reason,
        RetrySpread.retryAfterMillis(
            entry.requestId,
            room.returnAfterMillis(
                waitMillis,
                entry.callerLeavesAtMillis - nowMillis,
                waiting.isNotEmpty(),
                nowMillis
            ),
            entry.callerLeavesAtMillis - nowMillis
        )
    )

    /** Returns the expected time until it is the turn of [entry], waiting or new. */
    public fun expectedWaitMillis(entry: QueueEntry, nowMillis: Long): Long {
        val interval = room.intervalMillis(waiting.isNotEmpty(), nowMillis)
        val inTime = ((countAhead(entry, nowMillis) + 1) * interval).toLong()
        if (nowMillis + inTime <= entry.onTimeByMillis) return inTime
        val late = (countLateAhead(entry, nowMillis) + 1) *
            lateIntervalMillis(Rivals(entry), nowMillis)
        return minOf(maxOf(inTime.toDouble(), late), floorPlaces(entry) * interval).toLong()
    }

    private fun lateIntervalMillis(rivals: Rivals, nowMillis: Long): Double {
        val interval = room.intervalMillis(waiting.isNotEmpty(), nowMillis)
        val late = lateRooms.intervalMillis(rivals, waiting, nowMillis) ?: return interval
        return maxOf(interval, late)
    }

    /** Returns the number of places until [entry] gets one of those that prevent starvation. */
    private fun floorPlaces(entry: QueueEntry): Int {
        val priorities = waiting.mapTo(hashSetOf(entry.priority)) { it.priority }.size
        if (priorities == 1) return Int.MAX_VALUE / 2
        val own = waiting.count {
            it !== entry && it.priority == entry.priority && it.sinceMillis <= entry.sinceMillis
        }
        return (own + 1) * priorities * FLOOR_INTERVAL
    }

    /**
     * Returns how many requests come before [entry] while it is not late: the more urgent ones,
     * those of its account that must begin earlier, and of each other account those that its clock
     * allows before the turn of [entry].
     */
    private fun countAhead(entry: QueueEntry, nowMillis: Long): Int {
        var urgent = 0
        var own = 0
        val others = HashMap<String, Int>()
        waiting.forEach {
            if (it === entry) return@forEach
            when {
                it.priority < entry.priority -> urgent++

                it.priority > entry.priority -> Unit

                it.account != entry.account -> others.merge(it.account, 1, Int::plus)

                it.isLate(nowMillis) -> Unit

                it.beginByMillis <= entry.beginByMillis -> own++
            }
        }
        val clock = clocks[entry.account] ?: (virtualTime - CREDIT_REQUESTS * entry.cost)
        val turn = clock + own * entry.cost
        return urgent + own + others.entries.sumOf { (account, count) ->
            val allowed = (turn - (clocks[account] ?: virtualTime)) / entry.cost
            (allowed.toInt() + 1).coerceIn(0, count)
        }
    }

    private fun countLateAhead(entry: QueueEntry, nowMillis: Long): Int = waiting.count {
        it !== entry && it.priority == entry.priority && it.account == entry.account &&
            it.isLate(nowMillis) && it.beginByMillis <= entry.beginByMillis
    }

    /**
     * Returns which waiting request makes room for [entry] in a full queue: the youngest of the
     * least urgent ones, of the account that holds most of them. Among equally urgent requests only
     * an account that holds more than its part of the queue makes room, and only for one that holds
     * less.
     */
    private fun victimFor(entry: QueueEntry): QueueEntry? {
        val priority = waiting.maxOf { it.priority }
        if (priority < entry.priority) return null
        val own = counts[entry.account] ?: 0
        val part = maxEntries / (if (own > 0) counts.size else counts.size + 1)
        if (priority == entry.priority && own >= part) return null
        val rivals = waiting.filter { it.priority == priority }
        val account = rivals.maxBy { counts.getValue(it.account) }.account
        if (priority == entry.priority && counts.getValue(account) <= part) return null
        return rivals.filter { it.account == account }.maxByOrNull { it.sinceMillis }
    }

    private fun orderAt(nowMillis: Long) = compareBy<QueueEntry>(
        { it.priority },
        { clocks[it.account] ?: 0.0 },
        { it.isLate(nowMillis) },
        { it.beginByMillis }
    )

    public companion object {
        /** Bounds the memory of waiting requests, which take a few kilobytes each. */
        public const val MAX_ENTRIES: Int = 128

        /**
         * One place in eight goes to a neglected priority, which keeps the less urgent kinds above
         * a quarter of the rate of all, at their usual part of the demand.
         */
        internal const val FLOOR_INTERVAL = 8

        /**
         * About a second of the part of one of ten accounts. Requests come at random times: with 4,
         * accounts below their parts were late with 2 to 3 in 100 requests in simulations.
         */
        private const val CREDIT_REQUESTS = 12

        /** Bounds the processor time of estimates for a full queue. */
        private const val ESTIMATE_INTERVAL_MILLIS = 100L

        /** About the time that the requests take which an account was given. */
        private const val SHARES_KEPT_MILLIS = 2_000L

        private const val MAX_RESTRICTED_TRIED = 3
        private const val LATE_MARGIN = 1.5
        private const val LATE_MARGIN_MILLIS = 50
    }
}
