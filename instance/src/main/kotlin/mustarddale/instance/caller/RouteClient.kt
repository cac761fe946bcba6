package mustarddale.instance.caller

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.RequestHeaders
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await
import mustarddale.config.BackendServer
import mustarddale.key.Field
import mustarddale.key.Outbound

/** A call to a plain service, free of keys. */
public class RouteCall(
    public val method: HttpMethod,
    public val target: String,
    public val headers: List<Field>,
    public val body: ByteArray
)

/** The whole answer of a plain service. */
public class RouteResponse(
    public val status: Int,
    public val headers: List<Field>,
    public val body: ByteArray
) {
    /** The value of the header [name], null if there is none. */
    public fun header(name: String): String? = headers.firstOrNull { it.name == name }?.value
}

/** What became of a call to a plain service. */
public sealed interface RouteCallResult {
    /** The service answered. */
    public data class Answered(public val answer: RouteResponse) : RouteCallResult

    /** The call was never sent. */
    public data class NotSent(public val reason: String) : RouteCallResult

    /** The call may have run. */
    public data class Unknown(public val reason: String) : RouteCallResult
}

/** A plain service. */
public interface RouteClient {
    /** Sends [call] to [server], once. */
    public suspend fun send(server: BackendServer, call: RouteCall): RouteCallResult
}

/** Plain services over HTTP. */
public class HttpRouteClient(private val factory: ClientFactory) : RouteClient {
    private val clients = ConcurrentHashMap<String, WebClient>()

    @Suppress("TooGenericExceptionCaught")
    override suspend fun send(server: BackendServer, call: RouteCall): RouteCallResult = try {
        val headers = RequestHeaders.builder(call.method, call.target)
        call.headers.forEach { headers.add(it.name.lowercase(), it.value) }
        val request = HttpRequest.of(headers.build(), HttpData.wrap(call.body))
        val response = client(server).execute(request).aggregate().await()
        val fields = response.headers()
            .filter { !it.key.startsWith(":") }
            .map { Field(it.key.toString(), it.value) }
        val kept = Outbound.responseHeaders(fields)
        val status = response.status().code()
        RouteCallResult.Answered(RouteResponse(status, kept, response.content().array()))
    } catch (e: CancellationException) {
        throw e
    } catch (e: UnprocessedRequestException) {
        RouteCallResult.NotSent(e.toString())
    } catch (e: Exception) {
        RouteCallResult.Unknown(e.toString())
    }

    private fun client(server: BackendServer): WebClient = clients.computeIfAbsent(server.url) {
        WebClient.builder(it)
            .factory(factory)
            .responseTimeoutMillis(RESPONSE_TIMEOUT_MILLIS)
            .build()
    }

    private companion object {
        const val RESPONSE_TIMEOUT_MILLIS = 30_000L
    }
}
