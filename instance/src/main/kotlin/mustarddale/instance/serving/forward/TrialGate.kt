/*
 * Keeps a request that may crash servers from them: one that lost its server, here or at another
 * instance, is sent again only when the leader permits a trial.
 */
package mustarddale.instance.serving.forward

import kotlinx.coroutines.delay
import mustarddale.error.ErrorKind
import mustarddale.error.Refusal
import mustarddale.instance.serving.leader.LeaderLoans
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.backend.Backend
import mustarddale.serving.crash.RequestTrials
import mustarddale.time.Clock

/** Obtains the permits that [request] needs while it is suspected of crashing servers. */
internal class TrialGate(
    private val request: AdmittedRequest,
    private val state: ServingState,
    private val loans: LeaderLoans,
    private val clock: Clock
) {
    private val suspects = state.suspectedRequests
    private var isTrial = false

    /**
     * Returns why the request must not be sent to [target], null if it may be; waits for that if it
     * [mayWait], as it may not with a permit that expires.
     */
    suspend fun refusal(target: Backend, mayWait: Boolean): Refusal? {
        val maxWaitMillis = if (mayWait) MAX_WAIT_MILLIS else 0
        val untilMillis =
            minOf(clock.monotonicMillis() + maxWaitMillis, request.firstByteDeadlineAtMillis)
        while (!suspects.isEmpty && suspects.isSuspected(request.digest)) {
            val waitMillis = waitMillis(target)
            isTrial = waitMillis == 0L
            if (isTrial) return null
            if (clock.monotonicMillis() + waitMillis >= untilMillis) return refusal(waitMillis)
            delay(waitMillis)
            if (!state.acceptsRequests(target)) return refusal(waitMillis)
        }
        return null
    }

    private suspend fun waitMillis(target: Backend): Long {
        val verdict = suspects.verdictOn(request.digest)
        return when {
            verdict == null || !verdict.forbidsSending ->
                loans.borrowTrial(request.digest, target) ?: NO_LEADER_WAIT_MILLIS

            verdict.probesLeft == 0 -> RequestTrials.FORGET_MILLIS
            else -> verdict.probeInMillis
        }
    }

    /** Records that a server has begun to answer the request. */
    fun recordAnswer() {
        isTrial = false
        if (suspects.isEmpty) return
        if (suspects.recordAnswer(request.digest)) state.onUrgentDemand()
    }

    /** Records that [server] was lost before it answered. */
    fun recordLost(server: Backend) {
        isTrial = false
        suspects.recordLost(request.digest, server.run)
    }

    /** Gives back the permit of a trial that has shown nothing. */
    fun endAttempt() {
        if (!isTrial) return
        isTrial = false
        suspects.recordTrialEnd(request.digest)
        state.onUrgentDemand()
    }

    private fun refusal(waitMillis: Long): Refusal {
        val isBlocked = suspects.verdictOn(request.digest)?.isBlocked ?: false
        val reason = if (isBlocked) {
            "servers crash on the request ${request.digest}"
        } else {
            "the request ${request.digest} lost its server and gets no trial"
        }
        return Refusal(
            ErrorKind.REQUEST_BLOCKED,
            reason,
            retryAfterMillis = waitMillis.coerceAtLeast(MIN_RETRY_AFTER_MILLIS)
        )
    }

    private companion object {
        /** A trial takes about 100 ms, so several can pass in this time. */
        const val MAX_WAIT_MILLIS = 1_000L

        /** The interval of requests while the leader does not answer. */
        const val NO_LEADER_WAIT_MILLIS = 100L

        const val MIN_RETRY_AFTER_MILLIS = 400L
    }
}
