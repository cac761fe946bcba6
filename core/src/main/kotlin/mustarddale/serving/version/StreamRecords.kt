/*
 * The software versions that began streams, by the ids of the requests that brought their first
 * events. Records are numbered, so that a reader can ask for those that it has not read yet.
 */
package mustarddale.serving.version

/** Records of at most [maxRecords] streams; not thread-safe. */
public class StreamRecords(private val maxRecords: Int) {
    private val recordsByRequest = LinkedHashMap<String, Record>()
    private val newest = ArrayDeque<Record>()

    /** The number of records. */
    public val size: Int get() = recordsByRequest.size

    /** The number of the newest record, 0 before the first one. */
    public var lastNumber: Long = 0
        private set

    /** Records that servers with [version] began the stream of [request]; true if it is new. */
    public fun put(request: String, version: String, nowMillis: Long): Boolean {
        dropExpired(nowMillis)
        if (request in recordsByRequest) return false
        lastNumber++
        val record = Record(lastNumber, request, version, nowMillis)
        recordsByRequest[request] = record
        newest.addLast(record)
        if (newest.size > maxRecords) recordsByRequest.remove(newest.removeFirst().request)
        return true
    }

    /** Returns the version that began the stream of [request], null if it is not known. */
    public fun versionOf(request: String): String? = recordsByRequest[request]?.version

    /** Returns the versions of the streams with numbers above [number], by request. */
    public fun since(number: Long): Map<String, String> {
        val unread = lastNumber - number
        val count = unread.coerceIn(0, newest.size.toLong()).toInt()
        return newest.subList(newest.size - count, newest.size)
            .associate { it.request to it.version }
    }

    private fun dropExpired(nowMillis: Long) {
        while (true) {
            val oldest = newest.firstOrNull() ?: return
            if (nowMillis - oldest.atMillis < TTL_MILLIS) return
            recordsByRequest.remove(newest.removeFirst().request)
        }
    }

    private class Record(
        val number: Long,
        val request: String,
        val version: String,
        val atMillis: Long
    )

    public companion object {
        /** Longer than any stream and the time in which its client can take it up again. */
        public const val TTL_MILLIS: Long = 60_000
    }
}
