/*
 * All requests of an instance that wait for room, in a queue for each service and model. A server
 * holds several models, so a place at it goes to the queue with the most urgent request, and among
 * equally urgent ones to the queue that was tried longest ago. Every FLOOR_INTERVAL-th round begins
 * with the queue whose first request has waited longest, so that no model starves.
 */
package mustarddale.serving.overload

/** The queues by key [K], with at most [maxEntries] requests together; not thread-safe. */
public class WaitingRequests<K : Any>(
    private val maxEntries: Int = MAX_ENTRIES,
    private val maxQueueEntries: Int = RequestQueue.MAX_ENTRIES
) {
    private val queues = HashMap<K, TriedQueue>()
    private val rooms = HashMap<K, RoomEstimate>()
    private var roundCount = 0

    private class TriedQueue(val queue: RequestQueue) {
        var lastRound = 0
    }

    /** The number of waiting requests. */
    public val size: Int get() = queues.values.sumOf { it.queue.size }

    /** The waiting requests, in no order. */
    public val entries: List<QueueEntry> get() = queues.values.flatMap { it.queue.entries }

    /** Returns how many requests of [priority] wait. */
    public fun sizeOf(priority: Int): Int =
        queues.values.sumOf { queue -> queue.queue.entries.count { it.priority == priority } }

    /** Returns what is known of the places for [key]. */
    public fun roomOf(key: K, nowMillis: Long): RoomEstimate = rooms.getOrPut(key) {
        if (rooms.size >= MAX_ROOMS) rooms.entries.removeIf { it.value.isStale(nowMillis) }
        RoomEstimate()
    }

    /** Whether a new request of [priority] for [key] has to wait behind others. */
    public fun holdsBack(key: K, priority: Int): Boolean =
        queues[key]?.queue?.holdsBack(priority) ?: false

    /** Charges [account] for a request for [key] that was sent while others wait. */
    public fun charge(key: K, account: String, cost: Double) {
        queues[key]?.queue?.charge(account, cost)
    }

    /** Lets [entry] wait for [key], or refuses it. */
    public fun offer(key: K, entry: QueueEntry, nowMillis: Long): QueueDecision {
        val queue = queueOf(key, nowMillis)
        var evicted: QueueEntry? = null
        if (size >= maxEntries) {
            evicted = leastUrgent().takeIf { it.priority > entry.priority }
            if (evicted == null) return queue.refuse(entry, RefusalReason.QUEUE_FULL, nowMillis)
        }
        val decision = queue.offer(entry, nowMillis)
        if (decision !is QueueDecision.Wait) return decision
        if (decision.evicted != null || evicted == null) return decision
        remove(evicted)
        return QueueDecision.Wait(evicted)
    }

    /** Returns the refusal of [entry] for [key] because of [reason]. */
    public fun refuse(
        key: K,
        entry: QueueEntry,
        reason: RefusalReason,
        nowMillis: Long
    ): QueueDecision.Refuse = queues[key]?.queue?.refuse(entry, reason, nowMillis)
        ?: RequestQueue(roomOf(key, nowMillis)).refuse(entry, reason, nowMillis)

    /** Puts [entry] back, which was taken but found no room. */
    public fun putBack(key: K, entry: QueueEntry, nowMillis: Long) {
        queueOf(key, nowMillis).putBack(entry, nowMillis)
    }

    /**
     * Takes the next request of one of the queues that [mayTry] accepts and that [hasRoom]; null if
     * none of the first few has room.
     */
    public fun take(
        nowMillis: Long,
        mayTry: (K) -> Boolean,
        hasRoom: (QueueEntry) -> Boolean
    ): Taken<K>? {
        val tried = queues.entries.filter { it.value.queue.size > 0 && mayTry(it.key) }
        if (tried.isEmpty()) return null
        roundCount++
        val isFloor = roundCount % RequestQueue.FLOOR_INTERVAL == 0
        val ordered = if (isFloor) {
            tried.sortedBy { it.value.queue.oldestMillis }
        } else {
            tried.sortedWith(
                compareBy({ it.value.queue.topPriority }, { it.value.lastRound })
            )
        }
        ordered.take(MAX_QUEUES_TRIED).forEach { (key, queue) ->
            queue.lastRound = roundCount
            val taken = queue.queue.take(nowMillis, hasRoom)
            if (taken != null) return Taken(key, taken)
        }
        return null
    }

    /** The request [entry], which no longer waits for [key]. */
    public data class Taken<K>(public val key: K, public val entry: QueueEntry)

    /** Removes [entry]; false if it did not wait. */
    public fun remove(entry: QueueEntry): Boolean = queues.values.any { it.queue.remove(entry) }

    /** Removes and returns the requests that can no longer begin in time, with their refusals. */
    public fun removeLate(nowMillis: Long): List<Pair<QueueEntry, QueueDecision.Refuse>> {
        val late = queues.values.flatMap { it.queue.removeLate(nowMillis) }
        queues.values.removeIf { it.queue.isIdle(nowMillis) }
        return late
    }

    private fun queueOf(key: K, nowMillis: Long): RequestQueue = queues.getOrPut(key) {
        if (queues.size >= MAX_ROOMS) queues.values.removeIf { it.queue.size == 0 }
        TriedQueue(RequestQueue(roomOf(key, nowMillis), maxQueueEntries))
    }.queue

    private fun leastUrgent(): QueueEntry =
        entries.maxWith(compareBy({ it.priority }, { it.sinceMillis }))

    public companion object {
        /** Bounds the memory of waiting requests, which take a few kilobytes each. */
        public const val MAX_ENTRIES: Int = 400

        /** Bounds the processor time of one round on an instance with a third of a core. */
        private const val MAX_QUEUES_TRIED = 8

        /** More than the models and adapters that one instance serves within a few seconds. */
        private const val MAX_ROOMS = 1_024
    }
}
