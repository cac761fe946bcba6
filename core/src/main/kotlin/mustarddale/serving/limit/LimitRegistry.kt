/*
 * The limits of backend servers as the leader knows them from the reports of all instances. Reports
 * arrive late and in any order: the lowest limit counts until an instance that knew the newest
 * revision has seen a higher one, or none.
 */
package mustarddale.serving.limit

/** Tracks the limits of servers, which are named by their runs, on the leader; not thread-safe. */
public class LimitRegistry {
    private val limitsByServer = LinkedHashMap<String, ServerLimit>()
    private var lastRevision = 0L

    /** All known limits. */
    public val limits: List<ServerLimit> get() = limitsByServer.values.toList()

    /** Returns the requests per second that [server] accepts, null if it sets no limit. */
    public fun limitOf(server: String): Double? = limitsByServer[server]?.requestsPerSecond

    /** Processes an [observation] of an instance; returns whether the limit has changed. */
    public fun observe(observation: LimitObservation): Boolean {
        val known = limitsByServer[observation.server]
        val limit = observation.requestsPerSecond
        val isNewer = known != null && observation.revision == known.revision
        return when {
            limit == null && isNewer -> limitsByServer.remove(observation.server) != null

            limit != null &&
                (known == null || limit <= known.requestsPerSecond || isNewer) -> {
                lastRevision++
                limitsByServer[observation.server] =
                    ServerLimit(observation.server, limit, lastRevision)
                limit != known?.requestsPerSecond
            }

            else -> false
        }
    }

    /** Forgets the servers that are not among [servers]. */
    public fun retain(servers: Set<String>) {
        limitsByServer.keys.retainAll(servers)
    }
}
