package mustarddale.instance.serving

import mustarddale.instance.http.UnmatchedKind
import mustarddale.instance.http.UnmatchedResponse
import mustarddale.instance.http.UnmatchedResponseListener

/** Logs and counts the responses that reached no client. */
internal object UnmatchedResponseLog : UnmatchedResponseListener {
    override fun onUnmatched(response: UnmatchedResponse) {
        DecisionLog.recordRequest(
            eventOf(response.kind),
            response.dueId,
            isSuccess = false,
            "reason" to response.reason,
            "server" to response.server,
            "connection" to response.connection,
            "seen" to response.seenId,
            "status" to response.status,
            "bytes" to response.bytes,
            "ageMillis" to response.ageMillis
        )
    }

    private fun eventOf(kind: UnmatchedKind): String = when (kind) {
        UnmatchedKind.SKIPPED -> "response_skipped"
        UnmatchedKind.GIVEN_UP -> "response_given_up"
        UnmatchedKind.UNREQUESTED -> "response_unrequested"
    }
}
