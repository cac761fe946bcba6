package mustarddale.serving.overload

/** Requests of one account with one priority. */
internal data class Rivals(val priority: Int, val account: String) {
    constructor(entry: QueueEntry) : this(entry.priority, entry.account)
}

/**
 * Observes the places that the late requests of each account and priority get; they get only what
 * the others of their account leave. Not thread-safe.
 */
internal class LateRooms {
    private val rooms = HashMap<Rivals, RoomEstimate>()

    /** While no late request waits, the time without a place for one does not count. */
    fun observe(waiting: List<QueueEntry>, nowMillis: Long) {
        if (rooms.isEmpty()) return
        val late = waiting.filter { it.isLate(nowMillis) }.mapTo(HashSet()) { Rivals(it) }
        rooms.forEach { (rivals, room) -> if (rivals !in late) room.beginBacklog(nowMillis) }
    }

    /** Records that [entry], which is late, has got a place. */
    fun recordPlace(entry: QueueEntry, nowMillis: Long) {
        roomOf(Rivals(entry)).recordPlace(nowMillis)
    }

    /** Returns the observed interval between places for late [rivals], null if there is none. */
    fun intervalMillis(rivals: Rivals, waiting: List<QueueEntry>, nowMillis: Long): Double? {
        val isWaiting = waiting.any {
            it.isLate(nowMillis) && it.priority == rivals.priority && it.account == rivals.account
        }
        return roomOf(rivals).observedIntervalMillis(isWaiting, nowMillis)
    }

    fun clear() {
        rooms.clear()
    }

    private fun roomOf(rivals: Rivals) = rooms.getOrPut(rivals) { RoomEstimate() }
}
