package mustarddale.serving.connection

/** What a connection waits for. */
public enum class ConnectionActivity {
    /** Its first byte. */
    OPENED,

    /** The rest of the head of a request. */
    HEAD,

    /** The rest of a request's body. */
    BODY,

    /** This process, which has a request of it. */
    SERVED,

    /** Its client, which has not read all of an answer. */
    READING,

    /** The next request. */
    IDLE;

    /** Whether the client is to blame for the wait. */
    public val isClientsTurn: Boolean get() = this != SERVED && this != IDLE
}

/**
 * What one connection makes the process hold, and how long it has gone without progress. The
 * counters are changed for each read and write, the times only at each [tick]; not thread-safe.
 */
public class ConnectionUsage {
    /** All bytes that have been read from the connection. */
    public var bytesRead: Long = 0

    /** All bytes that have been given to the connection. */
    public var bytesWritten: Long = 0

    /** The number of requests that have begun. */
    public var requestCount: Long = 0

    /** The requests that have begun and have not been answered. */
    public var openRequests: Int = 0

    /** Whether a request's body has not ended. */
    public var isInBody: Boolean = false

    /** Whether the connection has been refused and only waits for its end. */
    public var isEnding: Boolean = false

    /** Whether the requests of the connection are not seen, because it uses HTTP/2. */
    public var isOpaque: Boolean = false

    /** The bytes that are held of requests which have not begun. */
    public var waitingBytes: Long = 0

    /** The bytes of the body that is being read. */
    public var bodyBytes: Long = 0

    /** All bytes that had been read when the latest request ended. */
    public var requestEndBytes: Long = 0

    /** What the connection waited for at the latest [tick]. */
    public var activity: ConnectionActivity = ConnectionActivity.OPENED
        private set

    /** How long it has been in its [activity]. */
    public var activityMillis: Long = 0
        private set

    /** How long its client has sent or read nothing. */
    public var stalledMillis: Long = 0
        private set

    /** How long its client has made less than the least progress. */
    public var windowMillis: Long = 0
        private set

    /** The bytes that the process held for it at the latest [tick]. */
    public var heldBytes: Long = 0
        private set

    private var seenRequestCount = 0L
    private var progress = 0L
    private var windowProgress = 0L

    /**
     * Records that [elapsedMillis] have passed, in which the process was able to read.
     *
     * @param unreadBytes the bytes that the client has not taken of its answers.
     * @param isHeld whether this process does not read from the connection.
     */
    public fun tick(
        elapsedMillis: Long,
        unreadBytes: Long,
        isHeld: Boolean,
        limits: ConnectionLimits
    ) {
        val current = activityNow(unreadBytes)
        val headBytes =
            if (current == ConnectionActivity.HEAD) bytesRead - requestEndBytes else 0
        heldBytes = waitingBytes + bodyBytes + unreadBytes + headBytes * HEAD_FACTOR
        val currentProgress =
            if (current == ConnectionActivity.READING) bytesWritten - unreadBytes else bytesRead
        if (current != activity || requestCount != seenRequestCount) {
            activity = current
            seenRequestCount = requestCount
            activityMillis = 0
            stalledMillis = 0
            restartWindow(currentProgress)
        } else if (!isHeld || current == ConnectionActivity.READING) {
            activityMillis += elapsedMillis
            windowMillis += elapsedMillis
            stalledMillis = if (currentProgress == progress) stalledMillis + elapsedMillis else 0
            val leastBytes = windowMillis * limits.leastBytesPerSecond / MILLIS_PER_SECOND
            val isWindowOver = windowMillis >= limits.bodyWindowMillis
            if (isWindowOver && currentProgress - windowProgress >= leastBytes) {
                restartWindow(currentProgress)
            }
        }
        progress = currentProgress
    }

    private fun activityNow(unreadBytes: Long): ConnectionActivity = when {
        unreadBytes > 0 -> ConnectionActivity.READING
        isInBody -> ConnectionActivity.BODY
        openRequests > 0 || isOpaque -> ConnectionActivity.SERVED
        bytesRead == 0L -> ConnectionActivity.OPENED
        bytesRead > requestEndBytes -> ConnectionActivity.HEAD
        else -> ConnectionActivity.IDLE
    }

    private fun restartWindow(currentProgress: Long) {
        windowMillis = 0
        windowProgress = currentProgress
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000

        /** Short fields take about this many times their bytes when they have been decoded. */
        const val HEAD_FACTOR = 16
    }
}
