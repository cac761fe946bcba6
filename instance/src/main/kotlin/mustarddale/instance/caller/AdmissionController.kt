/*
 * Gets a request admitted: asks the decision duty, and where that lacks tokens, a cold-start permit
 * or a resident model, fetches them from peers or from placement before it refuses.
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

/** The right to send one request to [server]. */
public data class Grant(public val server: String, public val loan: PermitLoan? = null)

/** Admits requests of callers. */
public class AdmissionController(
    private val decisions: DispatchLoop,
    private val placement: PlacementDuty,
    private val mesh: PeerMesh,
    private val clock: Clock,
    private val loadWaitMillis: Long
) {
    /** Returns the right to send [work], which [account] pays for. */
    public suspend fun admit(work: DispatchRequest, account: ClientAccount?): Outcome<Grant> {
        if (account != null && work.reservedTokens > RateLimiter.divisibleBurstTokens(account)) {
            return burstExceeded(work, account)
        }
        val deadlineMillis = clock.monotonicMillis() + loadWaitMillis
        var current = work
        while (true) {
            when (val step = step(current, account, deadlineMillis)) {
                is Step.Done -> return step.outcome
                is Step.Again -> current = step.work
            }
        }
    }

    private suspend fun step(
        work: DispatchRequest,
        account: ClientAccount?,
        deadlineMillis: Long
    ): Step = when (val admission = decisions.admit(work).await()) {
        is AdmissionDecision.Admitted -> Step.Done(Outcome.Success(Grant(admission.server)))
        is AdmissionDecision.Refused -> Step.Done(Outcome.Failure(admission.refusal))
        is AdmissionDecision.NeedsColdStartPermit -> Step.Done(onLoan(work, admission, account))
        is AdmissionDecision.InsufficientTokens -> borrow(work, admission, account)
        is AdmissionDecision.NotResident -> load(work, admission, deadlineMillis)
    }

    /** Notes that the request of [grant] has ended. */
    public fun finish(grant: Grant) {
        decisions.post(Update.RequestFinished(grant.server))
        grant.loan?.let(mesh::returnPermit)
    }

    private suspend fun borrow(
        work: DispatchRequest,
        admission: AdmissionDecision.InsufficientTokens,
        account: ClientAccount?
    ): Step {
        val hasBorrowed = work.transferredTokens > 0
        val credit = if (hasBorrowed) {
            0.0
        } else {
            val name = work.account.orEmpty()
            mesh.requestTokens(name, admission.missingTokens, TRANSFER_TIMEOUT_MILLIS)
        }
        if (credit <= 0) return Step.Done(rateExceeded(admission, account))
        return Step.Again(work.copy(transferredTokens = credit))
    }

    private suspend fun load(
        work: DispatchRequest,
        admission: AdmissionDecision.NotResident,
        deadlineMillis: Long
    ): Step {
        if (clock.monotonicMillis() >= deadlineMillis) return Step.Done(notLoaded(admission))
        placement.requestResidency(admission.service, admission.artifact)
        delay(LOAD_POLL_MILLIS)
        return Step.Again(work.copy(transferredTokens = 0.0))
    }

    private suspend fun onLoan(
        work: DispatchRequest,
        admission: AdmissionDecision.NeedsColdStartPermit,
        account: ClientAccount?
    ): Outcome<Grant> {
        val loan = mesh.requestPermit(admission.servers, PERMIT_TIMEOUT_MILLIS)
            ?: return failure(
                ErrorKind.BACKEND_COLD,
                "the backend servers are starting and take few requests",
                retryAfterMillis = COLD_RETRY_MILLIS
            )
        val admitted = decisions.admitWithLentPermit(work, loan.server).await()
        if (admitted is AdmissionDecision.Admitted) return Outcome.Success(Grant(loan.server, loan))
        mesh.returnPermit(loan)
        return if (admitted is AdmissionDecision.InsufficientTokens) {
            rateExceeded(admitted, account)
        } else {
            failure(ErrorKind.OVERLOADED, "too busy", retryAfterMillis = COLD_RETRY_MILLIS)
        }
    }

    private fun rateExceeded(
        admission: AdmissionDecision.InsufficientTokens,
        account: ClientAccount?
    ): Outcome.Failure {
        val perSecond = account?.tokensPerSecond ?: 1
        val waitMillis = (admission.missingTokens * MILLIS_PER_SECOND / perSecond).toLong()
        return failure(
            ErrorKind.RATE_EXCEEDED,
            "client account ${account?.name} has used up its rate of $perSecond tokens/s",
            retryAfterMillis = waitMillis.coerceAtLeast(1)
        )
    }

    private fun burstExceeded(work: DispatchRequest, account: ClientAccount): Outcome.Failure =
        failure(
            ErrorKind.BURST_EXCEEDED,
            "the request can take ${work.reservedTokens.toLong()} tokens, more than the burst of " +
                "${account.burstTokens}; shorten the prompt or lower max_tokens",
            "max_tokens"
        )

    private fun notLoaded(admission: AdmissionDecision.NotResident): Outcome.Failure = failure(
        ErrorKind.NO_BACKEND,
        "\"${admission.artifact}\" could not be loaded in time",
        retryAfterMillis = LOAD_RETRY_MILLIS
    )

    private sealed interface Step {
        data class Done(val outcome: Outcome<Grant>) : Step
        data class Again(val work: DispatchRequest) : Step
    }

    private companion object {
        const val LOAD_POLL_MILLIS = 25L
        const val TRANSFER_TIMEOUT_MILLIS = RateLimiter.MAX_TRANSFER_MILLIS / 2
        const val PERMIT_TIMEOUT_MILLIS = 100L
        const val COLD_RETRY_MILLIS = 1_000L
        const val LOAD_RETRY_MILLIS = 2_000L
        const val MILLIS_PER_SECOND = 1_000L
    }
}
