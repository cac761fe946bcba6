package mustarddale.instance.caller

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatusClass
import com.linecorp.armeria.common.RequestHeaders
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await
import mustarddale.config.BackendServer
import mustarddale.key.HttpField
import mustarddale.key.OutboundFilter

/** A call to a backend server of a configured route, without API keys. */
public class RouteCall(
    public val method: HttpMethod,
    public val target: String,
    public val headers: List<HttpField>,
    public val body: ByteArray
)

/** The complete response of a backend server to a [RouteCall]. */
public class RouteResponse(
    public val status: Int,
    public val headers: List<HttpField>,
    public val body: ByteArray
) {
    /** Returns the value of the header [name], null if there is none. */
    public fun header(name: String): String? = headers.firstOrNull { it.name == name }?.value
}

/** The result of sending a [RouteCall]. */
public sealed interface RouteResult {
    /** The backend server responded, with any status. */
    public data class Responded(public val response: RouteResponse) : RouteResult

    /** The call was not sent, so it did not run. */
    public data class NotSent(public val reason: String) : RouteResult

    /** No complete response was received, so the call may have run. */
    public data class Unknown(public val reason: String) : RouteResult
}

/** A client for backend servers of configured routes. */
public interface RouteClient {
    /** Sends [call] to [server] without any retry. */
    public suspend fun send(server: BackendServer, call: RouteCall): RouteResult
}

/** A [RouteClient] over HTTP. */
public class HttpRouteClient(private val factory: ClientFactory) : RouteClient {
    private val clients = ConcurrentHashMap<String, WebClient>()

    @Suppress("TooGenericExceptionCaught")
    override suspend fun send(server: BackendServer, call: RouteCall): RouteResult = try {
        val headers = RequestHeaders.builder(call.method, call.target)
        call.headers.forEach { headers.add(it.name.lowercase(), it.value) }
        val request = HttpRequest.of(headers.build(), HttpData.wrap(call.body))
        resultOf(clientFor(server).execute(request).aggregate().await())
    } catch (e: CancellationException) {
        throw e
    } catch (e: UnprocessedRequestException) {
        RouteResult.NotSent(e.toString())
    } catch (e: Exception) {
        RouteResult.Unknown(e.toString())
    }

    private fun resultOf(response: AggregatedHttpResponse): RouteResult {
        val status = response.status()
        // HTTP/2 connections deliver any number.
        if (status.codeClass() == HttpStatusClass.UNKNOWN) {
            return RouteResult.Unknown("the status $status has no class")
        }
        val fields = response.headers()
            .filter { !it.key.startsWith(":") }
            .map { HttpField(it.key.toString(), it.value) }
        val forwarded = OutboundFilter.responseHeaders(fields)
        return RouteResult.Responded(
            RouteResponse(status.code(), forwarded, response.content().array())
        )
    }

    private fun clientFor(server: BackendServer): WebClient = clients.computeIfAbsent(server.url) {
        WebClient.builder(it)
            .factory(factory)
            .responseTimeoutMillis(RESPONSE_TIMEOUT_MILLIS)
            .build()
    }

    private companion object {
        const val RESPONSE_TIMEOUT_MILLIS = 30_000L
    }
}
