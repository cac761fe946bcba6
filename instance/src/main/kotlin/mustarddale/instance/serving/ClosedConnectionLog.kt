package mustarddale.instance.serving

import io.micrometer.core.instrument.Metrics
import mustarddale.instance.http.ConnectionGuard
import mustarddale.serving.connection.CloseReason

/** Logs and counts the connections of clients that were closed for what they did. */
internal object ClosedConnectionLog {
    /** Records that the connection of [guard] was closed for [reason]; lines are limited. */
    fun record(guard: ConnectionGuard, reason: CloseReason) {
        Metrics.counter(
            "mustarddale.connections.closed",
            "kind",
            reason.code,
            "port",
            guard.port.code
        ).increment()
        DecisionLog.recordRequest(
            "connection_closed",
            request = null,
            isSuccess = false,
            "kind" to reason.code,
            "port" to guard.port.code,
            "client" to guard.remoteAddress,
            "waitsFor" to guard.usage.activity,
            "stalledMillis" to guard.usage.stalledMillis,
            "heldBytes" to guard.usage.heldBytes,
            "requests" to guard.usage.requestCount
        )
    }
}
