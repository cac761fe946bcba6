package mustarddale.instance.serving.state

import mustarddale.instance.serving.DecisionLog
import mustarddale.serving.backend.Backend
import mustarddale.serving.path.ServerPaths
import mustarddale.time.Clock

/** Follows this instance's paths to backend servers and logs when a service is cut off. */
public class PathMonitor(private val clock: Clock) {
    private val paths = ServerPaths()
    private val cutOffSinceMillis = HashMap<String, Long>()

    /** The services whose servers this instance can't reach. */
    public val cutOffServices: Set<String> get() = cutOffSinceMillis.keys

    /** The ids of the servers that have not responded since a connection to them failed. */
    public val unreachedServers: Set<String> get() = paths.unreachedServers

    /** Whether [server] has not responded since a connection to it failed. */
    public fun isUnreached(server: Backend): Boolean = paths.isUnreached(server.id)

    /** Whether this instance can't reach the servers of [service]. */
    public fun isCutOff(service: String): Boolean = service in cutOffSinceMillis

    /** Records that [server] has responded or accepted a connection. */
    public fun recordReached(server: Backend) {
        paths.recordReached(server.service, server.id, clock.monotonicMillis())
        if (cutOffSinceMillis.isNotEmpty()) update(server.service)
    }

    /** Records that a connection to [server] was not established, or was lost unanswered. */
    public fun recordUnreached(server: Backend) {
        paths.recordUnreached(server.id, clock.monotonicMillis())
        update(server.service)
    }

    /** Forgets [server], which has left the list. */
    public fun forget(server: Backend) {
        paths.forget(server.id)
        if (cutOffSinceMillis.isNotEmpty()) update(server.service)
    }

    private fun update(service: String) {
        val nowMillis = clock.monotonicMillis()
        val isCutOff = paths.isCutOff(service)
        if (isCutOff && cutOffSinceMillis.putIfAbsent(service, nowMillis) == null) {
            DecisionLog.record(
                "service_cut_off",
                "service" to service,
                "unreached" to paths.unreachedServers.toSet()
            )
        }
        if (isCutOff) return
        cutOffSinceMillis.remove(service)?.let {
            DecisionLog.record(
                "service_reached_again",
                "service" to service,
                "afterMillis" to nowMillis - it,
                "unreached" to paths.unreachedServers.toSet()
            )
        }
    }
}
