package mustarddale.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import mustarddale.routing.LoadReport

/** This instance's view of all backend servers; immutable. */
public data class ServerViews(
    private val byName: PersistentMap<String, ServerView> = persistentMapOf()
) {
    /** The names of all backend servers that events were recorded for. */
    public val names: Set<String> get() = byName.keys

    /** Returns the view of the backend server [name], an initial one if nothing is known. */
    public fun view(name: String): ServerView = byName[name] ?: ServerView()

    /** Records that a request was sent to [server]. */
    public fun recordSend(server: String): ServerViews = update(server) {
        it.copy(inFlight = it.inFlight + 1)
    }

    /** Records that a request to [server] ended. */
    public fun recordFinish(server: String): ServerViews = update(server) {
        val inFlight = (it.inFlight - 1).coerceAtLeast(0)
        it.copy(inFlight = inFlight, borrowedPermits = minOf(it.borrowedPermits, inFlight))
    }

    /** Records a failed connection; [server] is avoided for a while. */
    public fun recordConnectionFailure(server: String, nowMillis: Long): ServerViews =
        update(server) {
            it.invalidateWarmth(nowMillis).copy(suspectUntilMillis = nowMillis + SUSPECT_MILLIS)
        }

    /** Records that [server] responded that it is cold; its warmth is unknown until it reports. */
    public fun recordColdResponse(server: String, nowMillis: Long): ServerViews =
        update(server) { it.invalidateWarmth(nowMillis) }

    /** Applies a load report. */
    public fun applyReport(report: LoadReport, nowMillis: Long): ServerViews =
        update(report.server) { it.applyReport(report, nowMillis) }

    /** Records that a cold-start permit for [server] was lent. */
    public fun recordPermitLent(server: String): ServerViews =
        update(server) { it.copy(lentPermits = it.lentPermits + 1) }

    /** Records that a lent cold-start permit for [server] was returned. */
    public fun recordPermitReturned(server: String): ServerViews = update(server) {
        it.copy(lentPermits = (it.lentPermits - 1).coerceAtLeast(0))
    }

    /** Records that a cold-start permit for [server] was borrowed. */
    public fun recordPermitBorrowed(server: String): ServerViews =
        update(server) { it.copy(borrowedPermits = it.borrowedPermits + 1) }

    private fun update(server: String, change: (ServerView) -> ServerView): ServerViews =
        copy(byName = byName.put(server, change(view(server))))

    private companion object {
        /** How long a backend server is avoided after a failed connection. */
        const val SUSPECT_MILLIS = 1_000L
    }
}
