/*
 * Finds the backend servers that can handle a request now, or the reason why none can.
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

/** Selects backend servers by the state [dispatch] at the time [nowMillis]. */
internal class ServerSelector(private val dispatch: DispatchState, private val nowMillis: Long) {
    /** Returns where to send [request], ignoring its tokens; [randomValue] breaks ties. */
    fun select(request: DispatchRequest, randomValue: Int): AdmissionDecision {
        val available = dispatch.index.servers(request.service)
            .filter { dispatch.index.isAvailable(it) && it.name !in request.excludedServers }
        if (available.isEmpty()) return refused(ErrorKind.NO_BACKEND, "no available backend server")
        val resident = available.map { candidate(it, request) }.filter { it.hasModel }
        if (resident.isEmpty()) return NotResident(request.service, request.model.orEmpty())
        val withAdapter = resident.filter { it.hasAdapter }
        if (withAdapter.isEmpty()) return NotResident(request.service, request.adapter.orEmpty())
        val healthy = withAdapter.filterNot { view(it.server).isSuspect(nowMillis) }
        val usable = healthy.ifEmpty { withAdapter }
        val chosen = dispatch.policy.choose(usable.filter(::hasCapacity), randomValue)
        return if (chosen != null) Admitted(chosen.server.name) else noCapacity(usable)
    }

    private fun noCapacity(candidates: List<Candidate>): AdmissionDecision {
        val cold = candidates.filter { it.warmth != Warmth.WARM }
        if (cold.isNotEmpty()) return NeedsColdStartPermit(cold.map { it.server.name })
        return refused(ErrorKind.OVERLOADED, "all backend servers are at capacity")
    }

    private fun hasCapacity(candidate: Candidate): Boolean {
        val server = candidate.server
        if (candidate.warmth != Warmth.WARM) {
            return dispatch.freePermits(server.name, nowMillis) >= 1
        }
        val limit = minOf(server.maxInFlight, view(server).queueLimit)
        return candidate.expectedQueue < limit
    }

    private fun candidate(server: BackendServer, request: DispatchRequest): Candidate {
        val view = view(server)
        val report = view.report
        val needsNoModel = request.model == null
        return Candidate(
            server = server,
            warmth = if (needsNoModel && report == null) Warmth.WARM else view.warmth(nowMillis),
            expectedQueue = view.expectedQueue,
            inFlight = view.inFlight,
            hasModel = request.model == null || isReady(server, request.model),
            hasAdapter = request.adapter == null || isReady(server, request.adapter)
        )
    }

    private fun isReady(server: BackendServer, artifact: String): Boolean {
        val entry = dispatch.ledger.find(server.name, artifact)
        val isUnloading = entry?.residency == Residency.UNLOADING
        return !isUnloading && view(server).report?.ready.orEmpty().contains(artifact)
    }

    private fun view(server: BackendServer): ServerView = dispatch.servers.view(server.name)

    private fun refused(kind: ErrorKind, message: String): Refused =
        Refused(Refusal(kind, message, retryAfterMillis = RETRY_AFTER_MILLIS))

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
