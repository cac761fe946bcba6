package mustarddale.instance.serving.forward

import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.BackendSelection
import mustarddale.serving.backend.BackendSelector
import mustarddale.serving.backend.Candidate
import mustarddale.time.Clock

/** Chooses servers for [request] and remembers which ones it was sent to. */
internal class ServerChoice(
    private val request: AdmittedRequest,
    private val state: ServingState,
    private val selector: BackendSelector,
    private val versionGate: VersionGate,
    private val localDomain: String,
    private val clock: Clock
) {
    private val triedIds = HashSet<String>()
    private val refusedIds = HashSet<String>()
    private var mayReturn = true

    /** Returns the servers that may get the request, of the version that began its stream. */
    fun candidates(): List<Candidate> {
        val candidates = state.candidates(request.service, request.head.model)
        // A filtered list has no index by model.
        if (versionGate.version == null) return candidates
        return candidates.filter { versionGate.allows(it.backend) }
    }

    /** Selects one of [candidates] to which the request was not sent. */
    fun select(candidates: List<Candidate>): BackendSelection = select(candidates, triedIds)

    /** Selects one of [candidates] that may get the request after a wait for room. */
    fun selectAfterWait(candidates: List<Candidate>): BackendSelection =
        select(candidates, excludedAfterWait())

    private fun select(candidates: List<Candidate>, excluded: Set<String>) = selector.select(
        candidates,
        request.head.model,
        excluded,
        localDomain,
        request.priority,
        clock.monotonicMillis(),
        request.head.size
    )

    /** Whether the request was sent to [backend]. */
    fun hasTried(backend: Backend): Boolean = backend.id in triedIds

    /** Records that the request was sent to [backend]. */
    fun recordTried(backend: Backend) {
        triedIds += backend.id
    }

    /** Records that [backend] has refused the request, which it did not run. */
    fun recordRefused(backend: Backend) {
        refusedIds += backend.id
    }

    /** The servers that may not get the request again, also after a wait for room. */
    fun excludedAfterWait(): Set<String> = if (mayReturn) triedIds - refusedIds else triedIds

    /** Records that the request has waited: a server that was full is asked again, but once. */
    fun endWait() {
        if (refusedIds.isEmpty() || !mayReturn) return
        mayReturn = false
        triedIds.removeAll(refusedIds)
    }
}
