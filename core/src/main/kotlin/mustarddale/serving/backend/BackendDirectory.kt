/*
 * The backend servers in the platform's list, as this instance knows them. While the list is
 * unavailable, entries expire because servers cannot renew them. A server whose entry is missing
 * after such an outage is therefore kept for a short grace period, in which a server that is still
 * running renews its entry. A server that has said that it leaves counts as draining, whatever its
 * entry says.
 */
package mustarddale.serving.backend

/** A change in the directory. */
public sealed interface BackendChange {
    /** The server is new, or has restarted. */
    public data class Added(public val backend: Backend) : BackendChange

    /** The server has changed its entry. */
    public data class Changed(public val before: Backend, public val backend: Backend) :
        BackendChange

    /** The server is no longer listed. */
    public data class Removed(public val backend: Backend) : BackendChange
}

/** The known backend servers; not thread-safe. */
public class BackendDirectory(private val expiryGraceMillis: Long = EXPIRY_GRACE_MILLIS) {
    private val entries = LinkedHashMap<String, Backend>()
    private val graceEndById = HashMap<String, Long>()
    private var graceEndMillis = Long.MIN_VALUE
    private val leavingRuns = LinkedHashSet<String>()

    /** Grows with each change of an entry. */
    public var version: Long = 0
        private set

    /** The listed servers and those within their grace period. */
    public val backends: Collection<Backend> get() = entries.values

    /** The runs of the listed servers that have said that they leave. */
    public val leavingListedRuns: Set<String>
        get() = entries.values.mapNotNullTo(HashSet()) { backend ->
            backend.run.takeIf { it in leavingRuns }
        }

    /** Returns the server with the given [id], null if it is not known. */
    public fun find(id: String): Backend? = entries[id]

    /** Starts the grace period: the list is available again at [nowMillis] after an outage. */
    public fun onListRestored(nowMillis: Long) {
        graceEndMillis = nowMillis + expiryGraceMillis
        graceEndById.keys.forEach { graceEndById[it] = graceEndMillis }
    }

    /** Records that the server [run] leaves; returns null if nothing has changed. */
    public fun markLeaving(run: String): BackendChange? {
        if (!leavingRuns.add(run)) return null
        if (leavingRuns.size > MAX_LEAVING_RUNS) leavingRuns.remove(leavingRuns.first())
        return entries.values.find { it.run == run }?.let { put(it) }
    }

    /** Adds or updates the entry [listed]; returns null if nothing has changed. */
    public fun put(listed: Backend): BackendChange? {
        val backend = if (listed.run in leavingRuns) listed.copy(isDraining = true) else listed
        graceEndById.remove(backend.id)
        val before = entries.put(backend.id, backend)
        if (before == backend) return null
        version++
        return if (before == null || !before.isSameRun(backend)) {
            BackendChange.Added(backend)
        } else {
            BackendChange.Changed(before, backend)
        }
    }

    /**
     * Removes the entry [id]; returns null if it is not known or is kept until the end of the grace
     * period.
     */
    public fun remove(id: String, nowMillis: Long): BackendChange? {
        val backend = entries[id] ?: return null
        if (nowMillis < graceEndMillis && !backend.isDraining) {
            graceEndById[id] = graceEndMillis
            return null
        }
        return delete(id)
    }

    /** Replaces the whole list: entries that are not in [listed] are removed. */
    public fun replaceAll(listed: List<Backend>, nowMillis: Long): List<BackendChange> {
        val ids = listed.mapTo(HashSet()) { it.id }
        val removed = entries.keys.filter { it !in ids }.mapNotNull { remove(it, nowMillis) }
        return removed + listed.mapNotNull { put(it) }
    }

    /** Removes the servers whose entries were not renewed within the grace period. */
    public fun removeExpired(nowMillis: Long): List<BackendChange> =
        graceEndById.filterValues { it <= nowMillis }.keys.toList().mapNotNull { delete(it) }

    private fun delete(id: String): BackendChange? {
        graceEndById.remove(id)
        version++
        return entries.remove(id)?.let { BackendChange.Removed(it) }
    }

    internal companion object {
        /** Servers and operators write what is missing again within about 2 s of an outage. */
        const val EXPIRY_GRACE_MILLIS: Long = 2_200

        /** More servers than leave while their entries can still be listed. */
        private const val MAX_LEAVING_RUNS = 1_024
    }
}
