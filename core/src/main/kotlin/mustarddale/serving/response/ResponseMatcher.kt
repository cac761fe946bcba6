/*
 * Decides which request a response on a connection answers. A server may write a response twice,
 * the second time after it has received the next request, so the order of responses proves
 * nothing; the request id that a response names does. A response whose end is marked can be
 * skipped, and the response due follows it.
 */
package mustarddale.serving.response

/**
 * The head of a response as a connection delivers it.
 *
 * @property ids the request ids that it names, several if two heads were joined.
 * @property status the status code, null if the head has no whole status line.
 * @property isReadable whether it is a whole and well-formed head.
 * @property isCutOff whether the connection ended within it.
 * @property hasMarkedEnd whether a length or chunks mark the end of its body.
 * @property keepsConnection whether the server will keep the connection open.
 */
public data class ObservedHead(
    public val ids: List<String>,
    public val status: Int?,
    public val isReadable: Boolean = true,
    public val isCutOff: Boolean = false,
    public val hasMarkedEnd: Boolean = true,
    public val keepsConnection: Boolean = true
)

/** What to do with a response. */
public sealed interface ResponseVerdict {
    /** It answers the request that is due. */
    public data object Own : ResponseVerdict

    /** It answers an earlier request, or is informational; the response due follows it. */
    public data object Skip : ResponseVerdict

    /** The server has closed the connection within the head, and will not answer the request. */
    public data object CutOff : ResponseVerdict

    /**
     * It is no response to a known request, and the response due could not be told from what
     * follows. The server may still answer the request that is due, if there is one; it has
     * answered it with an unreadable head if [isAnswered].
     */
    public data class GiveUp(public val reason: String, public val isAnswered: Boolean = false) :
        ResponseVerdict
}

/** Matches the responses on one connection, which has one request due at most. */
public class ResponseMatcher {
    private var hasBodilessResponse = false

    /** Whether a request has been sent whose response has not ended. */
    public var isDue: Boolean = false
        private set

    /** The id of the request that is due, null if it has none or no request is due. */
    public var dueId: String? = null
        private set

    /**
     * Records that a request with the id [id] was sent, null if it names none.
     *
     * @param hasBodilessResponse whether its response ends with the head, as for HEAD.
     */
    public fun recordRequest(id: String?, hasBodilessResponse: Boolean) {
        isDue = true
        dueId = id
        this.hasBodilessResponse = hasBodilessResponse
    }

    /** Records that the response due has ended. */
    public fun recordEnd() {
        isDue = false
        dueId = null
    }

    /** Returns what to do with the response that begins with [head]. */
    public fun match(head: ObservedHead): ResponseVerdict = when {
        !isDue -> matchUnrequested(head)
        head.isCutOff -> matchCutOff(head)
        !head.isReadable ->
            ResponseVerdict.GiveUp("the bytes are no response", isAnswered = namesOnlyDue(head))
        head.status == SWITCHING_PROTOCOLS -> ResponseVerdict.GiveUp("the protocol was switched")
        isInformational(head) -> ResponseVerdict.Skip
        head.ids.distinct().size > 1 -> ResponseVerdict.GiveUp("the head names two requests")
        head.ids.firstOrNull() == dueId -> ResponseVerdict.Own
        else -> matchForeign(head)
    }

    private fun namesOnlyDue(head: ObservedHead): Boolean =
        dueId != null && head.ids.distinct() == listOf(dueId)

    private fun isInformational(head: ObservedHead): Boolean =
        head.status != null && head.status in INFORMATIONAL

    private fun matchUnrequested(head: ObservedHead): ResponseVerdict {
        val isSkippable =
            head.isReadable && head.ids.size == 1 && head.hasMarkedEnd && head.keepsConnection
        return if (isSkippable) {
            ResponseVerdict.Skip
        } else {
            ResponseVerdict.GiveUp("no request is due")
        }
    }

    private fun matchCutOff(head: ObservedHead): ResponseVerdict {
        val mayBeOwn = head.ids.all { it == dueId }
        // A failure that another server must not turn into a success.
        val isFailure = head.status != null && head.status >= FIRST_FAILURE
        return if (mayBeOwn && isFailure) {
            ResponseVerdict.GiveUp("the head of status ${head.status} was cut off")
        } else {
            ResponseVerdict.CutOff
        }
    }

    private fun matchForeign(head: ObservedHead): ResponseVerdict = when {
        !head.hasMarkedEnd -> ResponseVerdict.GiveUp("a response to another request has no end")
        hasBodilessResponse ->
            ResponseVerdict.GiveUp("the length of a response to another request is unknown")
        else -> ResponseVerdict.Skip
    }

    private companion object {
        val INFORMATIONAL = 100..199
        const val SWITCHING_PROTOCOLS = 101
        const val FIRST_FAILURE = 300
    }
}
