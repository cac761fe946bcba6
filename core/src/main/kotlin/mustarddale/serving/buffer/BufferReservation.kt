package mustarddale.serving.buffer

/** The part of [budget] that one buffer takes. */
public class BufferReservation internal constructor(private val budget: BufferBudget) {
    /** The bytes that are reserved. */
    public var bytes: Long = 0
        private set

    /** Changes the reservation to [newBytes]; false, without a change, if there is no room. */
    public fun tryResize(newBytes: Long): Boolean {
        if (!budget.tryResize(bytes, newBytes)) return false
        bytes = newBytes
        return true
    }

    /** Gives all bytes back. */
    public fun release() {
        tryResize(0)
    }
}
