/*
 * Sends one request to one backend server and reports whether the server may have run it. A server
 * has not run a request only if the request was never written or the server says so.
 */
package mustarddale.instance.serving.forward

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.ClientRequestContext
import com.linecorp.armeria.client.Clients
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.SessionProtocol
import com.linecorp.armeria.common.stream.StreamMessage
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await
import mustarddale.instance.http.BackendConnections
import mustarddale.instance.http.BodyFraming
import mustarddale.instance.serving.protocol.ResponseHead
import mustarddale.instance.serving.protocol.ResponseKind
import mustarddale.instance.serving.protocol.ServingProtocol
import mustarddale.serving.backend.BackendAddress

/** The result of sending a request, up to the response head. */
public sealed interface SendResult {
    /** Whether the server was reached, null if that is not known. */
    public val hasReachedServer: Boolean?
        get() = when (this) {
            is Responded, is NotRun -> true
            is NotSent -> false
            is OutcomeUnknown -> if (hasLostConnection) false else null
        }

    /** The server responded; [body] may still be arriving. */
    public data class Responded(
        public val headers: ResponseHeaders,
        public val head: ResponseHead,
        public val body: StreamMessage<HttpData>,
        public val framing: BodyFraming?
    ) : SendResult

    /**
     * The server did not run the request; [isMisdirected] if it is another server than expected or
     * does not hold the model.
     */
    public data class NotRun(public val head: ResponseHead, public val isMisdirected: Boolean) :
        SendResult

    /** The request was not written to a connection. */
    public data class NotSent(public val reason: String) : SendResult

    /**
     * The request may have run; no valid response arrived, because the connection was lost if
     * [hasLostConnection]. The server may still answer it if [mayStillRespond], and has given it a
     * malformed answer, which may be a failure, if [isMalformed].
     */
    public data class OutcomeUnknown(
        public val reason: String,
        public val hasLostConnection: Boolean,
        public val mayStillRespond: Boolean = false,
        public val isMalformed: Boolean = false
    ) : SendResult
}

/** Sends requests to backend servers over the connections of [factory]. */
public class BackendClient(
    private val factory: ClientFactory,
    private val protocol: ServingProtocol,
    private val routeTo: (BackendAddress) -> BackendAddress = { it }
) {
    private val clientsByAddress = HashMap<BackendAddress, WebClient>()

    /** Sends [headers] and [body] to the server at [address] and waits for the response head. */
    @Suppress("TooGenericExceptionCaught")
    public suspend fun send(
        address: BackendAddress,
        requestId: String,
        headers: RequestHeaders,
        body: HttpData
    ): SendResult {
        val captor = Clients.newContextCaptor()
        val response = try {
            captor.use { clientOf(address).execute(HttpRequest.of(headers, body)) }
        } catch (e: Exception) {
            return SendResult.NotSent("the request cannot be sent to $address: $e")
        }
        return try {
            awaitResponse(response, requestId, captor.get())
        } catch (e: CancellationException) {
            response.abort()
            throw e
        } catch (e: UnprocessedRequestException) {
            response.abort()
            SendResult.NotSent(e.cause.toString())
        } catch (e: Exception) {
            response.abort()
            val channel = captor.get().log().partial().channel()
            val givenUp = BackendConnections.givenUpOn(channel)
            SendResult.OutcomeUnknown(
                givenUp?.reason ?: e.toString(),
                hasLostConnection = givenUp == null,
                mayStillRespond = givenUp?.isAnswered == false,
                isMalformed = givenUp?.isAnswered == true
            )
        }
    }

    private suspend fun awaitResponse(
        response: HttpResponse,
        requestId: String,
        context: ClientRequestContext
    ): SendResult {
        val parts = response.split()
        val headers = parts.headers().await()
        val framing = BackendConnections.framingOn(context.log().partial().channel())
        val head = protocol.readResponse(headers, requestId)
        return when (head.kind) {
            ResponseKind.PROPER -> SendResult.Responded(headers, head, parts.body(), framing)

            ResponseKind.NOT_RUN, ResponseKind.NOT_HERE -> {
                parts.body().subscribe(BodyDrain(MAX_REFUSAL_BYTES))
                SendResult.NotRun(head, head.kind == ResponseKind.NOT_HERE)
            }

            ResponseKind.FOREIGN -> {
                response.abort()
                SendResult.OutcomeUnknown(
                    "the response is for another request or not from the server",
                    hasLostConnection = false
                )
            }
        }
    }

    private fun clientOf(address: BackendAddress): WebClient = clientsByAddress.getOrPut(address) {
        WebClient.builder(SessionProtocol.H1C, endpointOf(routeTo(address)))
            .factory(factory)
            .responseTimeoutMillis(0)
            .writeTimeoutMillis(WRITE_TIMEOUT_MILLIS)
            .maxResponseLength(0)
            .build()
    }

    private companion object {
        /** Bodies are small, so a server that reads nothing for this long is stuck. */
        const val WRITE_TIMEOUT_MILLIS = 2_000L

        /** Far above the length of a refusal, which is a line of text. */
        const val MAX_REFUSAL_BYTES = 64 * 1_024

        fun endpointOf(address: BackendAddress) =
            com.linecorp.armeria.client.Endpoint.of(address.host, address.port)
    }
}
