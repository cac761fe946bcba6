/*
 * The account of all connections of clients of one process. Each port has connections of its own,
 * so that callers take none from readiness checks and from other instances.
 */
package mustarddale.instance.http

import io.netty.channel.Channel
import mustarddale.serving.connection.CloseReason
import mustarddale.serving.connection.ConnectionLimits
import mustarddale.serving.connection.ConnectionPolicy

/** The ports that clients can reach. */
internal enum class ClientPort(val code: String) {
    CALLERS("callers"),
    READY("ready"),
    INTERNAL("internal")
}

/**
 * The connections of clients; confined to their event loop.
 *
 * @param headTimeoutMillis returns how long the operators let a client take for a head.
 * @param onClosed called with each connection that is closed for a reason.
 */
internal class ClientConnections(
    private val limits: ConnectionLimits,
    private val headTimeoutMillis: () -> Long,
    private val onClosed: (ConnectionGuard, CloseReason) -> Unit
) {
    private val guards = ClientPort.entries.associateWith { LinkedHashSet<ConnectionGuard>() }
    private var tickedAtMillis: Long? = null

    /** The most fields of one request. */
    val maxHeaderFields: Int get() = limits.maxHeaderFields

    /** The number of fields above which a head is large. */
    val largeHeadFields: Int get() = limits.largeHeadFields

    private var largeHeads = 0

    /** The number of open connections. */
    val count: Int get() = guards.values.sumOf { it.size }

    /** The bytes that the connections made the process hold at the latest [tick]. */
    var heldBytes: Long = 0
        private set

    /** Returns a guard for a new connection to [port]. */
    fun newGuard(port: ClientPort): ConnectionGuard = ConnectionGuard(this, port, limits)

    /** Adds [guard] to its connection [channel], and closes one if there are too many. */
    fun add(guard: ConnectionGuard, channel: Channel) {
        channel.pipeline().addFirst(guard)
        val open = guards.getValue(guard.port)
        val isForCallers = guard.port == ClientPort.CALLERS
        val max = if (isForCallers) limits.maxConnections else limits.reservedConnections
        if (open.size >= max) {
            (heaviest(open) ?: guard).close(CloseReason.TOO_MANY_CONNECTIONS)
        }
        if (channel.isOpen) open.add(guard)
    }

    /** Removes [guard], whose connection has been closed. */
    fun remove(guard: ConnectionGuard) {
        guards.getValue(guard.port).remove(guard)
    }

    /** Counts a request with a large head; false if too many are in progress. */
    fun tryAddLargeHead(): Boolean {
        if (largeHeads >= limits.maxLargeHeads) return false
        largeHeads++
        return true
    }

    /** Records that a request with a large head has ended. */
    fun removeLargeHead() {
        largeHeads--
    }

    /** Records that the connection of [guard] is closed for [reason]. */
    fun recordClosed(guard: ConnectionGuard, reason: CloseReason): Unit = onClosed(guard, reason)

    /** Closes connections without progress; called at intervals of [intervalMillis]. */
    fun tick(nowMillis: Long, intervalMillis: Long) {
        // While the process was paused it has read nothing.
        val elapsedMillis = (nowMillis - (tickedAtMillis ?: nowMillis))
            .coerceAtMost(2 * intervalMillis)
        tickedAtMillis = nowMillis
        heldBytes = 0
        val timeoutMillis = headTimeoutMillis()
        var overdue: ArrayList<Pair<ConnectionGuard, CloseReason>>? = null
        forEachOpen { guard ->
            guard.tick(elapsedMillis, limits)
            heldBytes += guard.usage.heldBytes
            val reason = ConnectionPolicy.overdue(guard.usage, limits, timeoutMillis)
            if (reason != null && !guard.usage.isEnding) {
                overdue = (overdue ?: ArrayList()).apply { add(guard to reason) }
            }
        }
        overdue?.forEach { (guard, reason) -> guard.close(reason) }
        makeRoom()
    }

    private inline fun forEachOpen(action: (ConnectionGuard) -> Unit) {
        for (open in guards.values) for (guard in open) action(guard)
    }

    private fun makeRoom() {
        if (!ConnectionPolicy.isTooMuchHeld(heldBytes, limits)) return
        val heaviestFirst = guards.values.flatten()
            .filter { it.usage.heldBytes > 0 && !it.usage.isEnding }
            .mapNotNull { guard -> ConnectionPolicy.weight(guard.usage)?.let { it to guard } }
            .sortedByDescending { it.first }
        var excessBytes = heldBytes
        for ((_, guard) in heaviestFirst) {
            if (!ConnectionPolicy.isTooMuchHeld(excessBytes, limits)) return
            excessBytes -= guard.usage.heldBytes
            guard.close(CloseReason.TOO_MUCH_HELD)
        }
    }

    private fun heaviest(open: Collection<ConnectionGuard>): ConnectionGuard? {
        var heaviest: ConnectionGuard? = null
        var maxWeight = -1L
        for (guard in open) {
            val weight = ConnectionPolicy.weight(guard.usage) ?: continue
            if (weight > maxWeight) {
                maxWeight = weight
                heaviest = guard
            }
        }
        return heaviest
    }
}
