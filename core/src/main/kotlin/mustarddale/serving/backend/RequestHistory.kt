package mustarddale.serving.backend

/** The last numbers of an instance's requests in flight to one server; not thread-safe. */
internal class RequestHistory {
    private val counts = IntArray(SIZE)
    private val sinceMillis = LongArray(SIZE)
    private var newest = 0

    /** Records that there are [count] requests from [nowMillis] on. */
    fun record(count: Int, nowMillis: Long) {
        if (sinceMillis[newest] != nowMillis) newest = (newest + 1) % SIZE
        counts[newest] = count
        sinceMillis[newest] = nowMillis
    }

    /** Returns the number of requests at [millis], the oldest known one if that is earlier. */
    fun at(millis: Long): Int {
        var index = newest
        repeat(SIZE - 1) {
            if (sinceMillis[index] <= millis) return counts[index]
            index = (index + SIZE - 1) % SIZE
        }
        return counts[index]
    }

    private companion object {
        /** An instance begins and ends about this many requests at a server within a second. */
        const val SIZE = 16
    }
}
