/*
 * The dialect that callers and backend servers speak over HTTP. The serving path decides; a
 * protocol only reads and writes names and formats.
 */
package mustarddale.instance.serving.protocol

import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import mustarddale.error.Refusal
import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.ToldLoad
import mustarddale.serving.backend.WantedModel

/**
 * What the serving path has to know of a request.
 *
 * @property apiKey the caller's key, null if it showed none.
 * @property tokens what the request counts against a rate, null if it does not say.
 * @property outputTokens the part of [tokens] that the engine generates.
 * @property callerTimeoutMillis how long the caller waits, null if it does not say.
 * @property lastEventId the event behind which the caller wants a stream to go on, null for a whole
 *   stream.
 */
public data class RequestHead(
    public val requestId: String,
    public val host: String,
    public val path: String,
    public val apiKey: String?,
    public val requestedModel: WantedModel?,
    public val tokens: Double?,
    public val outputTokens: Double,
    public val callerTimeoutMillis: Long?,
    public val lastEventId: String?
)

/**
 * One sending of a request to a backend server.
 *
 * @property remainingMillis what is left of the time that the request may take.
 * @property account the client account whose key came with the request, null if none did.
 * @property lastEventId the event behind which a resumed stream goes on.
 */
public data class BackendAttempt(
    public val backend: Backend,
    public val remainingMillis: Long,
    public val account: String?,
    public val priority: Int,
    public val lastEventId: String?
)

/** What the head of a backend server's answer means. */
public enum class ResponseKind {
    /** The answer to the request, a success or a failure. */
    PROPER,

    /** The server says that it did not run the request. */
    NOT_RUN,

    /**
     * The server is not the expected one, or does not hold the model; it did not run the request.
     */
    NOT_HERE,

    /** The answer belongs to another request or is not the server's own. */
    FOREIGN
}

/** The head of a backend server's answer. */
public data class ResponseHead(public val kind: ResponseKind, public val load: ToldLoad?)

/** The dialect of one platform. */
public interface ServingProtocol {
    /** Reads a request's head; null if it lacks what every request has. */
    public fun readRequest(headers: RequestHeaders): RequestHead?

    /** Returns the head to send to a backend server. */
    public fun backendHeaders(headers: RequestHeaders, attempt: BackendAttempt): RequestHeaders

    /** Reads the head of an answer to the request [requestId]. */
    public fun readResponse(headers: ResponseHeaders, requestId: String): ResponseHead

    /** Returns the head of an answer as the caller gets it. */
    public fun callerHeaders(headers: ResponseHeaders): ResponseHeaders

    /** Returns the head of a refusal of the request [requestId]. */
    public fun refusalHeaders(refusal: Refusal, requestId: String?): ResponseHeaders
}
