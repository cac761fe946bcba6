/*
 * Finds the backend servers that can take a request now, and why none can where that is so.
 */
package mustarddale.dispatch

import mustarddale.config.BackendServer
import mustarddale.dispatch.AdmissionDecision.Admitted
import mustarddale.dispatch.AdmissionDecision.NeedsColdStartPermit
import mustarddale.dispatch.AdmissionDecision.NotResident
import mustarddale.dispatch.AdmissionDecision.Refused
import mustarddale.error.ErrorKind
import mustarddale.error.Refusal
import mustarddale.memory.Residency
import mustarddale.routing.Candidate
import mustarddale.routing.Warmth

/** The choice of a backend server by [dispatch] at [nowMillis]. */
internal class ServerSelector(private val dispatch: DispatchState, private val nowMillis: Long) {
    /** Returns where to send [work], ignoring its tokens; [randomValue] breaks ties. */
    fun choose(work: DispatchRequest, randomValue: Int): AdmissionDecision {
        val available = dispatch.index.servers(work.service)
            .filter { dispatch.index.isAvailable(it) && it.name !in work.excludedServers }
        if (available.isEmpty()) return refused(ErrorKind.NO_BACKEND, "no backend server is in")
        val resident = available.map { candidate(it, work) }.filter { it.hasModel }
        if (resident.isEmpty()) return NotResident(work.service, work.model.orEmpty())
        val withAdapter = resident.filter { it.hasAdapter }
        if (withAdapter.isEmpty()) return NotResident(work.service, work.adapter.orEmpty())
        val healthy = withAdapter.filterNot { view(it.server).isSuspect(nowMillis) }
        val usable = healthy.ifEmpty { withAdapter }
        val chosen = dispatch.policy.choose(usable.filter(::hasRoom), randomValue)
        return if (chosen != null) Admitted(chosen.server.name) else noRoom(usable)
    }

    private fun noRoom(candidates: List<Candidate>): AdmissionDecision {
        val cold = candidates.filter { it.warmth != Warmth.WARM }
        if (cold.isNotEmpty()) return NeedsColdStartPermit(cold.map { it.server.name })
        return refused(ErrorKind.OVERLOADED, "all backend servers are full")
    }

    private fun hasRoom(candidate: Candidate): Boolean {
        val server = candidate.server
        if (candidate.warmth !=
            Warmth.WARM
        ) {
            return dispatch.freePermits(server.name, nowMillis) >= 1
        }
        val limit = minOf(server.maxInFlight, view(server).queueLimit)
        return candidate.expectedQueue < limit
    }

    private fun candidate(server: BackendServer, work: DispatchRequest): Candidate {
        val view = view(server)
        val report = view.report
        val isPlain = work.model == null
        return Candidate(
            server = server,
            warmth = if (isPlain && report == null) Warmth.WARM else view.warmth(nowMillis),
            expectedQueue = view.expectedQueue,
            inFlight = view.inFlight,
            hasModel = work.model == null || isReady(server, work.model),
            hasAdapter = work.adapter == null || isReady(server, work.adapter)
        )
    }

    private fun isReady(server: BackendServer, artifact: String): Boolean {
        val entry = dispatch.ledger.find(server.name, artifact)
        val isLeaving = entry?.residency == Residency.UNLOADING
        return !isLeaving && view(server).report?.ready.orEmpty().contains(artifact)
    }

    private fun view(server: BackendServer): ServerView = dispatch.servers.view(server.name)

    private fun refused(kind: ErrorKind, message: String): Refused =
        Refused(Refusal(kind, message, retryAfterMillis = RETRY_AFTER_MILLIS))

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
