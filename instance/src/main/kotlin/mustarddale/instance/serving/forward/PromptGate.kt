package mustarddale.instance.serving.forward

import mustarddale.error.ErrorKind
import mustarddale.error.Refusal
import mustarddale.instance.serving.leader.LeaderLoans
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.backend.Backend
import mustarddale.serving.prompt.CrashSuspect

/** Keeps [request] from servers that a part of its prompt would crash, and observes it there. */
internal class PromptGate(
    private val request: AdmittedRequest,
    private val state: ServingState,
    private val loans: LeaderLoans
) {
    private val parts = request.head.promptParts
    private var isProbe = false

    /** Whether the request must not be repeated, because it may have crashed a server. */
    var mayHaveCrashedServer: Boolean = false
        private set

    /** Returns why the request must not be sent, null if it may be. */
    suspend fun refusal(): Refusal? {
        val blocked = state.promptBlocks.matching(parts)
        if (blocked.isEmpty() || isProbe) return null
        val probeInMillis = blocked.maxOf { it.probeInMillis }
        val waitMillis = when {
            probeInMillis > 0 -> probeInMillis
            else -> loans.borrowProbe(parts) ?: NO_LEADER_WAIT_MILLIS
        }
        isProbe = waitMillis == 0L
        if (isProbe) return null
        val reason = "servers crash on prompts with the parts ${blocked.map { it.parts }}"
        return Refusal(ErrorKind.PROMPT_BLOCKED, reason, retryAfterMillis = waitMillis)
    }

    /** Records that a server has begun to answer the request. */
    fun recordAnswer() {
        state.promptObservations.recordAnswer(parts)
    }

    /** Records that [server] was lost before it answered. */
    fun recordLost(server: Backend) {
        val suspect = CrashSuspect(
            server.run,
            request.head.requestId,
            parts,
            server.service,
            request.digest
        )
        state.promptObservations.recordSuspect(suspect)
        mayHaveCrashedServer = state.promptObservations.areSuspicious(parts)
        state.onUrgentDemand()
    }

    private companion object {
        /** How long a probe is put off after the leader did not answer. */
        const val NO_LEADER_WAIT_MILLIS = 5_000L
    }
}
