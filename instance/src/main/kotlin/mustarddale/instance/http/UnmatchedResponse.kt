package mustarddale.instance.http

/** Why a response did not reach the client of its connection. */
public enum class UnmatchedKind {
    /** It answers an earlier request, and was skipped. */
    SKIPPED,

    /** It could not be told from the response due, whose request has failed. */
    GIVEN_UP,

    /** No request was due, and the connection was closed. */
    UNREQUESTED
}

/**
 * A response that did not reach the client of its connection.
 *
 * @property server the address of the server.
 * @property connection the id of the connection.
 * @property dueId the id of the request that was due, null if there was none or it has no id.
 * @property seenId the request id that the response names, null if it names none.
 * @property status the status code, null if it has no whole status line.
 * @property bytes the length of the body as far as it was read.
 * @property ageMillis time since the latest request was sent, null if none was.
 */
public data class UnmatchedResponse(
    public val kind: UnmatchedKind,
    public val reason: String,
    public val server: String,
    public val connection: String,
    public val dueId: String?,
    public val seenId: String?,
    public val status: Int?,
    public val bytes: Long,
    public val ageMillis: Long?
)

/** Is told of each response that did not reach the client of its connection. */
public fun interface UnmatchedResponseListener {
    /** Records [response]; called on the event loop of its connection. */
    public fun onUnmatched(response: UnmatchedResponse)
}

/**
 * The response due cannot be told from the other bytes of its connection; its server may still
 * answer the request.
 */
public class UnmatchedResponseException(reason: String) : RuntimeException(reason)
