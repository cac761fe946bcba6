/*
 * Connections to the port for other instances that have not sent a message yet. The socket library
 * reads up to a megabyte of each ahead, so a client that is no instance could fill the heap with
 * them. Others wait in the system's queue, where they take neither memory nor a descriptor.
 */
package mustarddale.instance.serving.leader

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull

/** At most [limit] new connections, which [close] ends; confined to one thread. */
internal class NewSockets<S>(private val limit: Int, private val close: (S) -> Unit) {
    private val sockets = LinkedHashSet<S>()
    private val removals = Channel<Unit>(Channel.CONFLATED)

    /** Waits until there is room for a connection; after a moment, closes the oldest one. */
    suspend fun awaitRoom() {
        if (sockets.size < limit) return
        withTimeoutOrNull(MAX_WAIT_MILLIS) { while (sockets.size >= limit) removals.receive() }
        while (sockets.size >= limit) {
            val oldest = sockets.first()
            sockets.remove(oldest)
            close(oldest)
        }
    }

    /** Adds a new connection. */
    fun add(socket: S) {
        sockets.add(socket)
    }

    /** Removes a connection that has sent a message or has ended. */
    fun remove(socket: S) {
        if (sockets.remove(socket)) removals.trySend(Unit)
    }

    companion object {
        /** Instances send their first message with the connection. */
        private const val MAX_WAIT_MILLIS = 20L

        /** What the socket library reads ahead, and a copy of it in the message. */
        private const val SOCKET_BYTES = 2L * 1_024 * 1_024

        /** Returns the number of new connections that take at most a quarter of [heapBytes]. */
        fun limitFor(heapBytes: Long): Int = (heapBytes / 4 / SOCKET_BYTES).coerceIn(4, 64).toInt()
    }
}
