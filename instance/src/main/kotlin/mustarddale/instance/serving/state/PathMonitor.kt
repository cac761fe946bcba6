package mustarddale.instance.serving.state

import mustarddale.instance.serving.DecisionLog
import mustarddale.serving.backend.Backend
import mustarddale.serving.path.ServerPaths
import mustarddale.time.Clock

/** Follows this instance's paths to backend servers and logs when a service is cut off. */
public class PathMonitor(private val clock: Clock) {
    private val paths = ServerPaths()
    private val cutOffSinceMillis = HashMap<String, Long>()
    private val shortUntilMillis = HashMap<String, Long>()

    /** The services whose servers this instance can't reach. */
    public val cutOffServices: Set<String> get() = cutOffSinceMillis.keys

    /** The services whose requests need another instance, wholly or in part. */
    public val shortServices: Set<String>
        get() {
            shortUntilMillis.values.removeIf { it < clock.monotonicMillis() }
            return cutOffServices + shortUntilMillis.keys
        }

    /** The ids of the servers that have not responded since a connection to them failed. */
    public val unreachedServers: Set<String> get() = paths.unreachedServers

    /** Called when a service has been cut off or lacks a server. */
    public var onShortage: () -> Unit = {}

    /** Whether more servers are unreached than one that has failed by itself. */
    public val hasSeveralUnreached: Boolean get() = paths.hasSeveralUnreached

    /** Whether [server] has not responded since a connection to it failed. */
    public fun isUnreached(server: Backend): Boolean = paths.isUnreached(server.id)

    /** Whether this instance can't reach the servers of [service]. */
    public fun isCutOff(service: String): Boolean = service in cutOffSinceMillis

    /** Records whether a request to [server] [isReached] it. */
    public fun record(server: Backend, isReached: Boolean) {
        if (isReached) recordReached(server) else recordUnreached(server)
    }

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

    /** Records that a request needs another instance to reach a server of [service]. */
    public fun recordShortage(service: String) {
        val untilMillis = clock.monotonicMillis() + SHORTAGE_MILLIS
        if (shortUntilMillis.put(service, untilMillis) == null && !isCutOff(service)) onShortage()
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
            onShortage()
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

    private companion object {
        /** How long other instances are asked for after a request that needed one. */
        const val SHORTAGE_MILLIS = 5_000L
    }
}
