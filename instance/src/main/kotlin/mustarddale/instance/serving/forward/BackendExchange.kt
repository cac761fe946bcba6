/*
 * Sends one request to one backend server and tells how far it came. The distinction that matters
 * is whether the server can have run the request: only a request that was never written, or that
 * the server says it did not run, has not.
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
import mustarddale.instance.serving.protocol.ResponseHead
import mustarddale.instance.serving.protocol.ResponseKind
import mustarddale.instance.serving.protocol.ServingProtocol
import mustarddale.serving.backend.BackendAddress

/** How the first part of an exchange ended. */
public sealed interface ExchangeStart {
    /** The server answers; [body] follows. */
    public data class Answered(
        public val headers: ResponseHeaders,
        public val head: ResponseHead,
        public val body: StreamMessage<HttpData>,
        public val connection: ConnectionWatch?
    ) : ExchangeStart

    /** The server did not run the request; [isAbsent] if it is not the one that can. */
    public data class NotRun(public val head: ResponseHead, public val isAbsent: Boolean) :
        ExchangeStart

    /** The request did not reach the server. */
    public data class NotSent(public val reason: String) : ExchangeStart

    /** The request may have run; no answer came. */
    public data class Lost(public val reason: String) : ExchangeStart
}

/** Talks to backend servers through the connections of [factory]. */
public class BackendExchange(
    private val factory: ClientFactory,
    private val protocol: ServingProtocol
) {
    private val clients = HashMap<BackendAddress, WebClient>()

    /** Sends [headers] and [body] to the server at [address]. */
    @Suppress("TooGenericExceptionCaught")
    public suspend fun send(
        address: BackendAddress,
        requestId: String,
        headers: RequestHeaders,
        body: HttpData
    ): ExchangeStart {
        val captor = Clients.newContextCaptor()
        val response = captor.use { clientOf(address).execute(HttpRequest.of(headers, body)) }
        return try {
            start(response, requestId, captor.get())
        } catch (e: CancellationException) {
            response.abort()
            throw e
        } catch (e: UnprocessedRequestException) {
            response.abort()
            ExchangeStart.NotSent(e.cause.toString())
        } catch (e: Exception) {
            response.abort()
            ExchangeStart.Lost(e.toString())
        }
    }

    private suspend fun start(
        response: HttpResponse,
        requestId: String,
        context: ClientRequestContext
    ): ExchangeStart {
        val parts = response.split()
        val headers = parts.headers().await()
        val connection = ConnectionWatch.on(context.log().partial().channel())
        val head = protocol.readResponse(headers, requestId)
        return when (head.kind) {
            ResponseKind.PROPER -> ExchangeStart.Answered(headers, head, parts.body(), connection)

            ResponseKind.NOT_RUN, ResponseKind.NOT_HERE -> {
                parts.body().subscribe()
                ExchangeStart.NotRun(head, head.kind == ResponseKind.NOT_HERE)
            }

            ResponseKind.FOREIGN -> {
                response.abort()
                ExchangeStart.Lost("answer to another request, or without a signature")
            }
        }
    }

    private fun clientOf(address: BackendAddress): WebClient = clients.getOrPut(address) {
        WebClient.builder(SessionProtocol.H1C, endpointOf(address))
            .factory(factory)
            .responseTimeoutMillis(0)
            .writeTimeoutMillis(WRITE_TIMEOUT_MILLIS)
            .maxResponseLength(0)
            .build()
    }

    private companion object {
        /** Bodies are small, so a server that takes none for so long is stuck. */
        const val WRITE_TIMEOUT_MILLIS = 2_000L

        fun endpointOf(address: BackendAddress) =
            com.linecorp.armeria.client.Endpoint.of(address.host, address.port)
    }
}
