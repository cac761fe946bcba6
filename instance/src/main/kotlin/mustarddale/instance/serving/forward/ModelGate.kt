/*
 * Lets a request wait for its model while no server holds it, as long as the model is expected in
 * time for the caller.
 */
package mustarddale.instance.serving.forward

import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.error.ErrorKind
import mustarddale.error.Refusal
import mustarddale.instance.serving.state.ServiceModel
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.backend.Candidate
import mustarddale.serving.residency.AbsentModelDecision
import mustarddale.serving.residency.AbsentModelPolicy
import mustarddale.serving.residency.AbsentModelRequest
import mustarddale.time.Clock

/** Waits until a server may hold the model that [request] needs. */
internal class ModelGate(
    private val request: AdmittedRequest,
    private val state: ServingState,
    private val versionGate: VersionGate,
    private val requestLog: RequestLog,
    private val clock: Clock
) {
    /**
     * Waits for the model, which none of [candidates] holds; returns why the request must not wait
     * longer, null if servers are to be checked again.
     */
    suspend fun refusal(candidates: List<Candidate>): Refusal? {
        val nowMillis = clock.monotonicMillis()
        val wanted = ServiceModel(request.service, checkNotNull(request.head.model))
        if (!state.modelWaiters.hasCapacity(MAX_WAITERS)) {
            return Refusal(ErrorKind.NO_BACKEND, "too many requests are waiting for models")
        }
        val expectedAtMillis =
            state.expectedAtMillis(request.service, wanted.requestedModel.model) {
                versionGate.allows(it)
            }
        val absent = absentModelRequest(wanted, candidates)
        val decision = AbsentModelPolicy.decide(absent, expectedAtMillis, nowMillis)
        state.onUrgentDemand()
        if (decision is AbsentModelDecision.Wait && !state.modelWaiters.isClosed) {
            await(wanted, minOf(decision.untilMillis - nowMillis, RECHECK_MILLIS))
            return null
        }
        val expected = expectedAtMillis?.let { "expected in ${it - nowMillis} ms" } ?: "not loading"
        val retryMillis = (decision as? AbsentModelDecision.RetryLater)?.let {
            it.retryAfterMillis + jitterMillis()
        }
        retryMillis?.let { state.modelWaiters.recordDeferredRetry(wanted, nowMillis + it) }
        return Refusal(
            ErrorKind.NO_BACKEND,
            "no server holds model ${wanted.requestedModel}, $expected",
            retryAfterMillis = retryMillis
        )
    }

    private suspend fun await(wanted: ServiceModel, maxMillis: Long) {
        val startMillis = clock.monotonicMillis()
        withTimeoutOrNull(maxMillis.coerceAtLeast(1)) { state.modelWaiters.await(wanted) }
        requestLog.modelWaitMillis += clock.monotonicMillis() - startMillis
    }

    private fun absentModelRequest(wanted: ServiceModel, candidates: List<Candidate>) =
        AbsentModelRequest(
            arrivedAtMillis = request.arrivedAtMillis,
            callerTimeoutAtMillis = request.firstByteDeadlineAtMillis,
            latencyTargetMillis = request.route.latencyTargetMillis,
            lacksAdapterOnly = wanted.requestedModel.adapter != null &&
                candidates.any { wanted.requestedModel.model in it.backend.models }
        )

    private fun jitterMillis(): Long =
        Math.floorMod(request.head.requestId.hashCode(), RETRY_JITTER_MILLIS).toLong()

    private companion object {
        /** How often a waiting request checks whether the expected load time has changed. */
        const val RECHECK_MILLIS = 200L

        /** Spreads the retries for a model that has just been loaded. */
        const val RETRY_JITTER_MILLIS = 150

        /** Bounds the memory of waiting requests, which take a few kilobytes each. */
        const val MAX_WAITERS = 500
    }
}
