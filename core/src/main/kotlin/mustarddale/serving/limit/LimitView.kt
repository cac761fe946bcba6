/*
 * The limits of backend servers as one instance knows them, from responses and from the leader.
 * Responses may overtake each other, so a higher limit or the end of a limit counts only if its
 * request was sent after this instance had last heard of the limit that it replaces. While there is
 * a leader, it decides on both, because it hears from all instances.
 */
package mustarddale.serving.limit

/** Tracks the limits of servers, which are named by their runs; not thread-safe. */
public class LimitView {
    private val entries = HashMap<String, Entry>()
    private val unreported = LinkedHashMap<String, LimitObservation>()

    /** Whether no server is known to have set a limit. */
    public val isEmpty: Boolean get() = entries.isEmpty()

    /** The requests per second that each server with a limit accepts. */
    public val requestsPerSecond: Map<String, Double>
        get() = entries.mapValues { it.value.requestsPerSecond }

    /** Returns the requests per second that [server] accepts, null if it sets no limit. */
    public fun limitOf(server: String): Double? = entries[server]?.requestsPerSecond

    /**
     * Records the [signal] in a response of [server] to a request that was sent at [sentMillis].
     *
     * @param hasLeader whether a leader decides on higher limits and on the ends of limits.
     */
    public fun record(
        server: String,
        signal: LimitSignal,
        sentMillis: Long,
        hasLeader: Boolean,
        nowMillis: Long
    ) {
        val limit = when (signal) {
            is LimitSignal.Limited -> signal.requestsPerSecond
            is LimitSignal.Unlimited -> null
            is LimitSignal.Unreadable -> return
        }
        val entry = entries[server]
        when {
            limit != null && (entry == null || limit <= entry.requestsPerSecond) -> {
                observe(server, limit, nowMillis)
                unreported[server] = LimitObservation(server, limit, revision = null)
            }

            entry == null || sentMillis <= entry.confirmedMillis -> return

            !hasLeader -> replace(server, limit, nowMillis)

            entry.revision != null ->
                unreported[server] = LimitObservation(server, limit, entry.revision)
        }
    }

    private fun observe(server: String, limit: Double, nowMillis: Long) {
        val entry = entries.getOrPut(server) { Entry(limit) }
        entry.requestsPerSecond = limit
        entry.confirmedMillis = nowMillis
        entry.observedMillis = nowMillis
    }

    private fun replace(server: String, limit: Double?, nowMillis: Long) {
        unreported.remove(server)
        if (limit == null) {
            entries.remove(server)
        } else {
            observe(server, limit, nowMillis)
            unreported[server] = LimitObservation(server, limit, revision = null)
        }
    }

    /** Returns the observations since the last call. */
    public fun takeObservations(): List<LimitObservation> {
        val observations = unreported.values.toList()
        unreported.clear()
        return observations
    }

    /** Returns all limits, for a leader that does not know them yet. */
    public fun known(): List<ServerLimit> =
        entries.map { (server, entry) -> ServerLimit(server, entry.requestsPerSecond, 0) }

    /**
     * Applies all [limits] that the leader knows.
     *
     * @param reportSentMillis when this instance sent the newest report that the leader had
     *   processed, null if unknown; what was observed later still applies.
     */
    public fun update(limits: List<ServerLimit>, reportSentMillis: Long?, nowMillis: Long) {
        limits.forEach { limit ->
            val entry = entries.getOrPut(limit.server) { Entry(limit.requestsPerSecond) }
            if (entry.revision == limit.revision) return@forEach
            entry.requestsPerSecond = if (entry.isObservedSince(reportSentMillis)) {
                minOf(entry.requestsPerSecond, limit.requestsPerSecond)
            } else {
                limit.requestsPerSecond
            }
            entry.revision = limit.revision
            entry.confirmedMillis = nowMillis
        }
        val listed = limits.mapTo(HashSet()) { it.server }
        entries.entries.removeIf {
            it.key !in listed && !it.value.isObservedSince(reportSentMillis)
        }
    }

    /** Forgets which revisions the previous leader had, as those of the next are others. */
    public fun forgetLeader() {
        entries.values.forEach { it.revision = null }
        unreported.values.removeIf { it.revision != null }
    }

    /** Forgets [server], which has ended. */
    public fun remove(server: String) {
        entries.remove(server)
        unreported.remove(server)
    }

    private class Entry(var requestsPerSecond: Double) {
        /** The leader's revision, null if the leader is not known to have the limit. */
        var revision: Long? = null

        /** When this instance last heard of the limit, from the server or from the leader. */
        var confirmedMillis = Long.MIN_VALUE

        /** When a response to this instance last named the limit, null if none did. */
        var observedMillis: Long? = null

        fun isObservedSince(reportSentMillis: Long?): Boolean {
            val observed = observedMillis ?: return false
            return reportSentMillis == null || observed >= reportSentMillis
        }
    }
}
