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
import mustarddale.key.HttpField
import mustarddale.key.OutboundFilter

/** A call to a plain service, free of keys. */
public class PlainCall(
    public val method: HttpMethod,
    public val target: String,
    public val headers: List<HttpField>,
    public val body: ByteArray
)

/** The whole answer of a plain service. */
public class PlainAnswer(
    public val status: Int,
    public val headers: List<HttpField>,
    public val body: ByteArray
) {
    /** The value of the header [name], null if there is none. */
    public fun header(name: String): String? = headers.firstOrNull { it.name == name }?.value
}

/** What became of a call to a plain service. */
public sealed interface PlainResult {
    /** The service answered. */
    public data class Answered(public val answer: PlainAnswer) : PlainResult

    /** The call was never sent. */
    public data class NotSent(public val reason: String) : PlainResult

    /** The call may have run. */
    public data class Unknown(public val reason: String) : PlainResult
}

/** A plain service. */
public interface PlainClient {
    /** Sends [call] to [server], once. */
    public suspend fun send(server: BackendServer, call: PlainCall): PlainResult
}

/** Plain services over HTTP. */
public class HttpPlainClient(private val factory: ClientFactory) : PlainClient {
    private val clients = ConcurrentHashMap<String, WebClient>()

    @Suppress("TooGenericExceptionCaught")
    override suspend fun send(server: BackendServer, call: PlainCall): PlainResult = try {
        val headers = RequestHeaders.builder(call.method, call.target)
        call.headers.forEach { headers.add(it.name.lowercase(), it.value) }
        val request = HttpRequest.of(headers.build(), HttpData.wrap(call.body))
        val response = client(server).execute(request).aggregate().await()
        val fields = response.headers()
            .filter { !it.key.startsWith(":") }
            .map { HttpField(it.key.toString(), it.value) }
        val kept = OutboundFilter.responseHeaders(fields)
        val status = response.status().code()
        PlainResult.Answered(PlainAnswer(status, kept, response.content().array()))
    } catch (e: CancellationException) {
        throw e
    } catch (e: UnprocessedRequestException) {
        PlainResult.NotSent(e.toString())
    } catch (e: Exception) {
        PlainResult.Unknown(e.toString())
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
