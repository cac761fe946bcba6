/*
 * The backend servers that the platform's list names, as this instance knows them. Entries lapse
 * while the list is away, because their servers cannot renew them; a server whose entry is gone
 * after such a time is kept for a short grace, in which a living server has renewed it.
 */
package mustarddale.serving.backend

/** A change of what is known about a backend server. */
public sealed interface BackendChange {
    /** The server is new, or has restarted. */
    public data class Added(public val backend: Backend) : BackendChange

    /** The server says something new of itself. */
    public data class Changed(public val before: Backend, public val backend: Backend) :
        BackendChange

    /** The server is gone. */
    public data class Removed(public val backend: Backend) : BackendChange
}

/** The known backend servers; belongs to one thread. */
public class BackendDirectory(private val expiryGraceMillis: Long = EXPIRY_GRACE_MILLIS) {
    private val entries = LinkedHashMap<String, Backend>()
    private val lapsedUntilMillis = HashMap<String, Long>()
    private var graceEndsMillis = Long.MIN_VALUE

    /** All servers that may be there. */
    public val backends: Collection<Backend> get() = entries.values

    /** Returns the server called [id]. */
    public fun find(id: String): Backend? = entries[id]

    /** Notes that the list answers again at [nowMillis] after it was away. */
    public fun onListRestored(nowMillis: Long) {
        graceEndsMillis = nowMillis + expiryGraceMillis
        lapsedUntilMillis.keys.forEach { lapsedUntilMillis[it] = graceEndsMillis }
    }

    /** Takes in an entry. */
    public fun put(backend: Backend): BackendChange? {
        lapsedUntilMillis.remove(backend.id)
        val before = entries.put(backend.id, backend)
        return when {
            before == null || !before.isSameRun(backend) -> BackendChange.Added(backend)
            before != backend -> BackendChange.Changed(before, backend)
            else -> null
        }
    }

    /** Takes in that the entry [id] was removed. */
    public fun remove(id: String, nowMillis: Long): BackendChange? {
        val backend = entries[id] ?: return null
        if (nowMillis < graceEndsMillis && !backend.isDraining) {
            lapsedUntilMillis[id] = graceEndsMillis
            return null
        }
        return drop(id)
    }

    /** Takes in the whole list; what it lacks is removed. */
    public fun replaceAll(listed: List<Backend>, nowMillis: Long): List<BackendChange> {
        val ids = listed.mapTo(HashSet()) { it.id }
        val removed = entries.keys.filter { it !in ids }.mapNotNull { remove(it, nowMillis) }
        return removed + listed.mapNotNull { put(it) }
    }

    /** Drops the servers that have not come back within the grace. */
    public fun removeExpired(nowMillis: Long): List<BackendChange> =
        lapsedUntilMillis.filterValues { it <= nowMillis }.keys.toList().mapNotNull { drop(it) }

    private fun drop(id: String): BackendChange? {
        lapsedUntilMillis.remove(id)
        return entries.remove(id)?.let { BackendChange.Removed(it) }
    }

    private companion object {
        /** Living servers renew their entries within about two seconds after the list returns. */
        const val EXPIRY_GRACE_MILLIS = 2_200L
    }
}
