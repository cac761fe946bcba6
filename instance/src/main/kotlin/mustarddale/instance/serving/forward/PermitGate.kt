package mustarddale.instance.serving.forward

import kotlinx.coroutines.delay
import mustarddale.instance.serving.leader.LeaderLoans
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.backend.BackendSelection
import mustarddale.serving.backend.Candidate
import mustarddale.serving.backend.holdersOf
import mustarddale.serving.limit.PermitRotation
import mustarddale.serving.limit.RequestPacer
import mustarddale.serving.limit.SendPermit
import mustarddale.time.Clock

/** Obtains the permits that [request] needs for cold and limited servers. */
internal class PermitGate(
    private val request: AdmittedRequest,
    private val state: ServingState,
    private val loans: LeaderLoans,
    private val requestLog: RequestLog,
    private val clock: Clock
) {
    /** Obtains a permit for the server [target]; false if the request must not be sent there. */
    suspend fun obtain(target: BackendSelection.Selected): Boolean {
        val permit = requestPermit(target)
        val nowMillis = clock.monotonicMillis()
        if (permit is SendPermit.Granted) {
            delay(permit.delayMillis)
            val waitedMillis = clock.monotonicMillis() - nowMillis
            requestLog.permitWaitMillis += waitedMillis
            val lateMillis = waitedMillis - permit.delayMillis
            return lateMillis < RequestPacer.PERMIT_LIFETIME_MILLIS &&
                state.acceptsRequests(target.backend)
        }
        val retryMillis = (permit as? SendPermit.Refused)?.retryMillis
        state.loadOf(target.backend).deferPermits(
            nowMillis + (retryMillis ?: NO_LEADER_WAIT_MILLIS),
            request.priority,
            nowMillis
        )
        requestLog.logPermitRefused(target, retryMillis)
        return false
    }

    private suspend fun requestPermit(target: BackendSelection.Selected): SendPermit? {
        val limit = target.requestsPerSecond
        val patienceMillis = patienceMillis(target)
        if (target.needsColdPermit || limit == null || !state.limits.rotation.isActive) {
            // Urgent requests wait longer, so that they get the next permits before others.
            val urgency = 1 + request.priority.coerceAtLeast(0)
            val maxDelayMillis = patienceMillis.coerceAtMost(RequestPacer.MAX_DELAY_MILLIS)
            return loans.borrowPermit(target, maxDelayMillis / urgency)
        }
        return state.limits.rotation.request(
            target.backend.run,
            limit,
            patienceMillis.coerceAtMost(PermitRotation.MAX_DELAY_MILLIS),
            clock.monotonicMillis()
        )
    }

    /** Returns how long the request can wait; not at all if there are other servers for it. */
    private fun patienceMillis(target: BackendSelection.Selected): Long {
        if (target.availableCount > 1) return 0
        val remainingMillis = request.deadlineAtMillis - clock.monotonicMillis()
        return (remainingMillis / DEADLINE_FRACTION).coerceAtLeast(0)
    }

    /**
     * Returns the milliseconds until one of [candidates] may accept requests again, null if none of
     * them needs permits or rests.
     */
    fun waitMillis(candidates: List<Candidate>, nowMillis: Long): Long? {
        val model = request.head.model
        return candidates.holdersOf(model)
            .map {
                maxOf(it.load.permitWaitMillis(nowMillis), it.load.restWaitMillis(nowMillis))
            }
            .filter { it > 0 }
            .minOrNull()
    }

    private companion object {
        /** How long a server that needs permits is avoided after the leader did not answer. */
        const val NO_LEADER_WAIT_MILLIS = 250L

        /** The part of a request's remaining time that it may wait for a permit, as a divisor. */
        const val DEADLINE_FRACTION = 4
    }
}
