/*
 * What a process holds for clients that it does not control. The defaults are such that no client
 * within the operators' limits on heads, bodies and idle connections reaches them.
 */
package mustarddale.serving.connection

/**
 * Limits on the connections of clients.
 *
 * @property maxConnections on the port of callers; other ports have [reservedConnections] each.
 * @property maxHeldBytes of all connections, above three quarters of which stalled ones are closed.
 * @property maxHeaderFields of one request, above which it is refused with 431.
 * @property maxTrailerFields of one request, above which it is refused with 431.
 * @property largeHeadFields above which a head counts against [maxLargeHeads].
 * @property maxLargeHeads requests with large heads in progress, above which 503 is sent. Decoded
 *   fields take about 16 times their bytes.
 * @property maxOpenRequests of one connection; more are not read before one has been answered.
 * @property maxMultiplexed requests in progress over HTTP/2 in the process, above which 503 is
 *   sent.
 * @property maxMultiplexedOfOne the same of one connection; more are reset as not processed.
 * @property headMillis the longest time for a head, if the operators do not allow more.
 * @property bodyWindowMillis the time in which [leastBytesPerSecond] of a body has to arrive.
 * @property readWindowMillis the same for answers; longer, because the system's buffers take
 *   answers in large parts.
 * @property firstByteMillis the longest time before the first byte of a connection.
 */
public data class ConnectionLimits(
    public val maxConnections: Int = 1_536,
    public val reservedConnections: Int = 256,
    public val maxHeldBytes: Long = 16L * 1_024 * 1_024,
    public val maxHeaderFields: Int = 4_096,
    public val maxTrailerFields: Int = 4_096,
    public val largeHeadFields: Int = 512,
    public val maxLargeHeads: Int = 2,
    public val maxOpenRequests: Int = 2,
    public val maxMultiplexed: Int = 1_024,
    public val maxMultiplexedOfOne: Int = 100,
    public val leastBytesPerSecond: Long = 200,
    public val headMillis: Long = 10_000,
    public val bodyWindowMillis: Long = 10_000,
    public val readWindowMillis: Long = 30_000,
    public val firstByteMillis: Long = 30_000
) {
    /** The most connections of all ports, above which none is accepted. */
    public val maxAccepted: Int
        get() = maxConnections + 2 * reservedConnections + reservedConnections

    public companion object {
        /**
         * Returns the limits of a process with [heapBytes] and at most [maxDescriptors] open files.
         * A quarter of the connections is for ports other than that of callers.
         *
         * @param configured the most connections that the settings allow, null for no limit.
         * @param bufferBytes the budget for bodies and answers.
         */
        public fun of(
            heapBytes: Long,
            maxDescriptors: Long,
            configured: Int?,
            bufferBytes: Long
        ): ConnectionLimits {
            val total = minOf(
                configured?.toLong() ?: Long.MAX_VALUE,
                (maxDescriptors * DESCRIPTOR_SHARE).toLong(),
                (heapBytes * HEAP_SHARE / CONNECTION_BYTES).toLong(),
                MAX_CONNECTIONS
            ).coerceAtLeast(MIN_CONNECTIONS).toInt()
            return ConnectionLimits(
                maxConnections = total - total / 4,
                reservedConnections = total / 8,
                maxHeldBytes = bufferBytes,
                maxMultiplexed =
                (heapBytes * MULTIPLEXED_HEAP_SHARE / CONNECTION_BYTES).toInt()
            )
        }

        /** The rest is for the store, servers, other instances and the files of the process. */
        private const val DESCRIPTOR_SHARE = 0.6
        private const val HEAP_SHARE = 0.25
        private const val MULTIPLEXED_HEAP_SHARE = 0.125

        /** The heap for a connection, or for a request of an HTTP/2 connection, rounded up. */
        private const val CONNECTION_BYTES = 16 * 1_024
        private const val MIN_CONNECTIONS = 32L
        private const val MAX_CONNECTIONS = 16_384L
    }
}
