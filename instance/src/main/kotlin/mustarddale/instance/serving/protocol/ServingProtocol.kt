/*
 * The headers that callers and backend servers use over HTTP. The forwarding code makes the
 * decisions; a protocol only reads and writes header names and formats.
 */
package mustarddale.instance.serving.protocol

import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import mustarddale.error.Refusal
import mustarddale.serving.backend.ModelRef
import mustarddale.serving.backend.ReportedLoad
import mustarddale.serving.backend.RequestSize
import mustarddale.serving.backend.RestSignal
import mustarddale.serving.limit.LimitSignal

/**
 * The decoded head of a caller's request.
 *
 * @property apiKey the caller's API key, null if it sent none.
 * @property model the model and adapter, null for a service without models.
 * @property tokens what the request counts against its account's rate, null if it has no count.
 * @property outputTokens the part of [tokens] that the engine generates.
 * @property callerTimeoutMillis how long the caller waits, null if it sets no limit.
 * @property lastEventId the event after which a stream is to continue, null for a whole stream.
 * @property resumedRequestId the id of the request that brought the first event of the stream that
 *   is to continue, null if the caller names none.
 * @property promptParts ids of the parts of the prompt that other requests may share.
 * @property prompt the model and the prompt as the caller names them, null if it names none.
 */
public data class RequestHead(
    public val requestId: String,
    public val host: String,
    public val path: String,
    public val apiKey: String?,
    public val model: ModelRef?,
    public val tokens: Double?,
    public val outputTokens: Double,
    public val callerTimeoutMillis: Long?,
    public val lastEventId: String?,
    public val resumedRequestId: String?,
    public val promptParts: List<String>,
    public val prompt: String? = null
) {
    /** The size of the request, as far as its caller states it. */
    public val size: RequestSize
        get() = RequestSize.of((tokens ?: 0.0) - outputTokens, outputTokens)
}

/**
 * One attempt to send a request to a backend server.
 *
 * @property serverId the id of the server.
 * @property remainingMillis the time left until the request's deadline.
 * @property account the client account of the request, null if it has none.
 * @property lastEventId the event after which a stream is to continue, null for a whole stream.
 */
public data class BackendAttempt(
    public val serverId: String,
    public val remainingMillis: Long,
    public val account: String?,
    public val priority: Int,
    public val lastEventId: String?
)

/** The meaning of the head of a backend server's response. */
public enum class ResponseKind {
    /** The response to the request, a success or a failure. */
    PROPER,

    /** The server reports that it did not run the request. */
    NOT_RUN,

    /**
     * The server is not the expected one or does not hold the model; it did not run the request.
     */
    NOT_HERE,

    /** The response belongs to another request or does not come from the server itself. */
    FOREIGN
}

/**
 * The decoded head of a backend server's response.
 *
 * @property load the reported load, null if there is none.
 * @property limit what it says of the requests that the server accepts.
 * @property rest for how long a server that refuses wants no requests.
 * @property isLeaving whether the server shuts down and wants no new requests.
 */
public data class ResponseHead(
    public val kind: ResponseKind,
    public val load: ReportedLoad?,
    public val limit: LimitSignal,
    public val rest: RestSignal = RestSignal.None,
    public val isLeaving: Boolean = false
)

/** The HTTP headers of one platform. */
public interface ServingProtocol {
    /** The header in which requests, and the responses to them, name the id of the request. */
    public val requestIdHeader: CharSequence

    /** Decodes a caller's request head; null if it has no request id. */
    public fun readRequest(headers: RequestHeaders): RequestHead?

    /** Returns the request head for a backend server. */
    public fun backendHeaders(headers: RequestHeaders, attempt: BackendAttempt): RequestHeaders

    /** Decodes the head of a backend server's response to the request [requestId]. */
    public fun readResponse(headers: ResponseHeaders, requestId: String): ResponseHead

    /** Returns the response head for the caller. */
    public fun callerHeaders(headers: ResponseHeaders): ResponseHeaders

    /** Returns the response head for a [refusal] of the request [requestId]. */
    public fun refusalHeaders(refusal: Refusal, requestId: String?): ResponseHeaders

    /**
     * Returns the response head for a [refusal] of the request [requestId] of another instance,
     * which reads it as it reads the response of a backend server.
     */
    public fun notRunHeaders(refusal: Refusal, requestId: String?): ResponseHeaders
}
