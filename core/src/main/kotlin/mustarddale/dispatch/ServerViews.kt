package mustarddale.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import mustarddale.routing.LoadReport

/** What this instance knows of all backend servers. */
public data class ServerViews(
    private val byName: PersistentMap<String, ServerView> = persistentMapOf()
) {
    /** All backend servers that anything is known of. */
    public val names: Set<String> get() = byName.keys

    /** What is known of the backend server called [name]. */
    public fun view(name: String): ServerView = byName[name] ?: ServerView()

    /** Notes that a request was sent to [server]. */
    public fun recordSend(server: String): ServerViews = update(server) {
        it.copy(inFlight = it.inFlight + 1)
    }

    /** Notes that a request to [server] has ended. */
    public fun recordFinish(server: String): ServerViews = update(server) {
        val inFlight = (it.inFlight - 1).coerceAtLeast(0)
        it.copy(inFlight = inFlight, borrowedPermits = minOf(it.borrowedPermits, inFlight))
    }

    /** Notes that a connection to [server] failed. */
    public fun recordConnectionFailure(server: String, nowMillis: Long): ServerViews =
        update(server) {
            it.invalidateWarmth(nowMillis).copy(suspectUntilMillis = nowMillis + SUSPECT_MILLIS)
        }

    /** Notes that [server] said that it is cold; the next report tells whether it still is. */
    public fun recordColdResponse(server: String, nowMillis: Long): ServerViews =
        update(server) { it.invalidateWarmth(nowMillis) }

    /** Takes in a load report. */
    public fun applyReport(report: LoadReport, nowMillis: Long): ServerViews =
        update(report.server) { it.applyReport(report, nowMillis) }

    /** Notes that a cold-start permit for [server] was lent. */
    public fun recordPermitLent(server: String): ServerViews =
        update(server) { it.copy(lentPermits = it.lentPermits + 1) }

    /** Notes that a cold-start permit for [server] came back. */
    public fun recordPermitReturned(server: String): ServerViews = update(server) {
        it.copy(lentPermits = (it.lentPermits - 1).coerceAtLeast(0))
    }

    /** Notes that a cold-start permit for [server] was borrowed. */
    public fun recordPermitBorrowed(server: String): ServerViews =
        update(server) { it.copy(borrowedPermits = it.borrowedPermits + 1) }

    private fun update(server: String, change: (ServerView) -> ServerView): ServerViews =
        copy(byName = byName.put(server, change(view(server))))

    private companion object {
        const val SUSPECT_MILLIS = 1_000L
    }
}
