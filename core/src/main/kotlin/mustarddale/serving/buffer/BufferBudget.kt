package mustarddale.serving.buffer

/**
 * Limits the bytes that a process holds for callers and backend servers to [capacityBytes]; not
 * thread-safe. A quarter is kept for small buffers, so that large ones do not stop other requests.
 */
public class BufferBudget(public val capacityBytes: Long) {
    /** The bytes of all reservations. */
    public var heldBytes: Long = 0
        private set

    /** Number of times that a reservation could not grow. */
    public var refusedCount: Long = 0
        private set

    /** Returns a reservation of no bytes. */
    public fun reserve(): BufferReservation = BufferReservation(this)

    /** Replaces [oldBytes] of a reservation by [newBytes]; false if there is no room. */
    internal fun tryResize(oldBytes: Long, newBytes: Long): Boolean {
        val limitBytes =
            if (newBytes <= SMALL_BYTES) capacityBytes else capacityBytes - capacityBytes / 4
        val totalBytes = heldBytes - oldBytes + newBytes
        if (newBytes > oldBytes && totalBytes > limitBytes) {
            refusedCount++
            return false
        }
        heldBytes = totalBytes
        return true
    }

    private companion object {
        /** Above the bodies of ordinary requests, which have a few kilobytes. */
        const val SMALL_BYTES = 64L * 1_024
    }
}
