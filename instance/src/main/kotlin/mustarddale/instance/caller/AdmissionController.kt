/*
 * Admission of requests. The dispatch loop decides; where rate tokens or a cold-start permit are
 * missing, they are requested from peers, and a missing model is loaded, before a request is
 * refused.
 */
package mustarddale.instance.caller

import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import mustarddale.config.ClientAccount
import mustarddale.dispatch.AdmissionDecision
import mustarddale.dispatch.DispatchRequest
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure
import mustarddale.instance.decision.DispatchLoop
import mustarddale.instance.decision.DispatchLoop.Update
import mustarddale.instance.decision.PlacementDuty
import mustarddale.instance.peer.PeerMesh
import mustarddale.instance.peer.PeerMesh.PermitLoan
import mustarddale.rate.RateLimiter
import mustarddale.time.Clock

/**
 * The permission to send one request to [server].
 *
 * @property loan the cold-start permit that a peer lent for the request, null if it needs none.
 */
public data class Grant(public val server: String, public val loan: PermitLoan? = null)

/**
 * Admits requests of callers to backend servers.
 *
 * @param loadWaitMillis how long a request waits for its model or adapter to be loaded.
 */
public class AdmissionController(
    private val dispatchLoop: DispatchLoop,
    private val placement: PlacementDuty,
    private val peerMesh: PeerMesh,
    private val clock: Clock,
    private val loadWaitMillis: Long
) {
    /**
     * Returns the grant to send [request], or the reason why it is refused.
     *
     * @param account the client account that is charged, null if there is nothing to charge.
     */
    public suspend fun admit(request: DispatchRequest, account: ClientAccount?): Outcome<Grant> {
        if (account != null && request.reservedTokens > RateLimiter.divisibleBurstTokens(account)) {
            return burstExceeded(request, account)
        }
        val deadlineMillis = clock.monotonicMillis() + loadWaitMillis
        var currentRequest = request
        while (true) {
            when (val next = tryAdmit(currentRequest, account, deadlineMillis)) {
                is Step.Done -> return next.outcome
                is Step.Retry -> currentRequest = next.request
            }
        }
    }

    private suspend fun tryAdmit(
        request: DispatchRequest,
        account: ClientAccount?,
        deadlineMillis: Long
    ): Step = when (val decision = dispatchLoop.admit(request).await()) {
        is AdmissionDecision.Admitted -> Step.Done(Outcome.Success(Grant(decision.server)))
        is AdmissionDecision.Refused -> Step.Done(Outcome.Failure(decision.refusal))
        is AdmissionDecision.NeedsColdStartPermit -> Step.Done(onPermit(request, decision, account))
        is AdmissionDecision.InsufficientTokens -> requestTokens(request, decision, account)
        is AdmissionDecision.NotResident -> requestLoad(request, decision, deadlineMillis)
    }

    /** Records the end of the request of [grant], and returns a permit that a peer lent. */
    public fun finish(grant: Grant) {
        dispatchLoop.post(Update.RequestFinished(grant.server))
        grant.loan?.let(peerMesh::returnPermit)
    }

    private suspend fun requestTokens(
        request: DispatchRequest,
        decision: AdmissionDecision.InsufficientTokens,
        account: ClientAccount?
    ): Step {
        val hasTransfer = request.transferredTokens > 0
        val receivedTokens = if (hasTransfer) {
            0.0
        } else {
            val accountName = request.account.orEmpty()
            peerMesh.requestTokens(accountName, decision.missingTokens, TRANSFER_TIMEOUT_MILLIS)
        }
        if (receivedTokens <= 0) return Step.Done(rateExceeded(decision, account))
        return Step.Retry(request.copy(transferredTokens = receivedTokens))
    }

    private suspend fun requestLoad(
        request: DispatchRequest,
        decision: AdmissionDecision.NotResident,
        deadlineMillis: Long
    ): Step {
        if (clock.monotonicMillis() >= deadlineMillis) return Step.Done(notLoaded(decision))
        placement.requestResidency(decision.service, decision.artifact)
        delay(LOAD_POLL_MILLIS)
        return Step.Retry(request.copy(transferredTokens = 0.0))
    }

    /** Admits [request] to a cold backend server on a permit that a peer lends. */
    private suspend fun onPermit(
        request: DispatchRequest,
        decision: AdmissionDecision.NeedsColdStartPermit,
        account: ClientAccount?
    ): Outcome<Grant> {
        val loan = peerMesh.requestPermit(decision.servers, PERMIT_TIMEOUT_MILLIS)
            ?: return failure(
                ErrorKind.BACKEND_COLD,
                "all available backend servers are in cold start and accept only a few requests",
                retryAfterMillis = RETRY_AFTER_MILLIS
            )
        val result = dispatchLoop.admitWithBorrowedPermit(request, loan.server).await()
        if (result is AdmissionDecision.Admitted) return Outcome.Success(Grant(loan.server, loan))
        peerMesh.returnPermit(loan)
        return if (result is AdmissionDecision.InsufficientTokens) {
            rateExceeded(result, account)
        } else {
            failure(
                ErrorKind.OVERLOADED,
                "this instance is overloaded",
                retryAfterMillis = RETRY_AFTER_MILLIS
            )
        }
    }

    private fun rateExceeded(
        decision: AdmissionDecision.InsufficientTokens,
        account: ClientAccount?
    ): Outcome.Failure {
        val perSecond = account?.tokensPerSecond ?: 1
        val waitMillis = (decision.missingTokens * MILLIS_PER_SECOND / perSecond).toLong()
        return failure(
            ErrorKind.RATE_EXCEEDED,
            "client account ${account?.name} has exceeded its rate of $perSecond tokens/s",
            retryAfterMillis = waitMillis.coerceAtLeast(1)
        )
    }

    private fun burstExceeded(request: DispatchRequest, account: ClientAccount): Outcome.Failure =
        failure(
            ErrorKind.BURST_EXCEEDED,
            "the request may use ${request.reservedTokens.toLong()} tokens, more than the burst " +
                "limit of ${account.burstTokens}; shorten the prompt or lower max_tokens",
            "max_tokens"
        )

    private fun notLoaded(decision: AdmissionDecision.NotResident): Outcome.Failure = failure(
        ErrorKind.NO_BACKEND,
        "model \"${decision.artifact}\" was not loaded in time",
        retryAfterMillis = LOAD_RETRY_AFTER_MILLIS
    )

    private sealed interface Step {
        data class Done(val outcome: Outcome<Grant>) : Step
        data class Retry(val request: DispatchRequest) : Step
    }

    private companion object {
        const val LOAD_POLL_MILLIS = 25L
        const val TRANSFER_TIMEOUT_MILLIS = RateLimiter.MAX_TRANSFER_MILLIS / 2
        const val PERMIT_TIMEOUT_MILLIS = 100L
        const val RETRY_AFTER_MILLIS = 1_000L
        const val LOAD_RETRY_AFTER_MILLIS = 2_000L
        const val MILLIS_PER_SECOND = 1_000L
    }
}
