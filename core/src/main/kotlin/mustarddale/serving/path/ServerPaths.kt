/*
 * Tells an instance that has lost its paths to backend servers from servers that have failed. One
 * unreached server says nothing of the instance. Several that cannot be reached, while no server of
 * the service has responded since, do: the requests then go through another instance, without a
 * direct attempt that would only cost time.
 */
package mustarddale.serving.path

/** The paths from one instance to backend servers, as its own connections show; not thread-safe. */
public class ServerPaths {
    private val unreachedSinceMillis = HashMap<String, Long>()
    private val respondedAtMillis = HashMap<String, Long>()

    /** The ids of the servers that have not responded since a connection to them failed. */
    public val unreachedServers: Set<String> get() = unreachedSinceMillis.keys

    /** Records that [server] of [service] has responded or accepted a connection. */
    public fun recordReached(service: String, server: String, nowMillis: Long) {
        unreachedSinceMillis.remove(server)
        respondedAtMillis[service] = nowMillis
    }

    /** Records that a connection to [server] was not established, or was lost unanswered. */
    public fun recordUnreached(server: String, nowMillis: Long) {
        unreachedSinceMillis.putIfAbsent(server, nowMillis)
    }

    /** Forgets [server], which has left the list. */
    public fun forget(server: String) {
        unreachedSinceMillis.remove(server)
    }

    /** Whether [server] has not responded since a connection to it failed. */
    public fun isUnreached(server: String): Boolean = server in unreachedSinceMillis

    /** Whether more servers are unreached than one that has failed by itself. */
    public val hasSeveralUnreached: Boolean get() = unreachedSinceMillis.size >= MIN_SERVERS

    /** Whether this instance, rather than a server, seems to have lost its paths to [service]. */
    public fun isCutOff(service: String): Boolean {
        val lastResponseMillis = respondedAtMillis[service] ?: Long.MIN_VALUE
        return unreachedSinceMillis.values.count { it >= lastResponseMillis } >= MIN_SERVERS
    }

    private companion object {
        /** A single server may have crashed or fallen silent. */
        const val MIN_SERVERS = 2
    }
}
