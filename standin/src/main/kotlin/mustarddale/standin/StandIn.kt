package mustarddale.standin

import com.linecorp.armeria.common.HttpHeaders
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/** Base class of the simulated external systems, each served over HTTP on a loopback port. */
public abstract class StandIn : AutoCloseable {
    private lateinit var server: Server

    /** The base URL, available once the server has started. */
    public val url: String get() = "http://$HOST:${server.activeLocalPort()}"

    /** Starts the server on [port], or on any free port if it is 0. */
    public fun start(port: Int = 0) {
        val builder = Server.builder()
            .http(InetSocketAddress(HOST, port))
            .requestTimeoutMillis(0)
            .maxRequestLength(MAX_BODY_BYTES)
        configure(builder)
        server = builder.build()
        server.start().join()
    }

    /** Stops the server; the future completes when it has stopped. */
    public fun stop(): CompletableFuture<Void> = server.stop()

    override fun close() {
        if (::server.isInitialized) stop().join()
    }

    /** Registers the routes of this stand-in. */
    protected abstract fun configure(builder: ServerBuilder)

    internal companion object {
        const val HOST = "127.0.0.1"
        private const val MAX_BODY_BYTES = 64L * 1_024 * 1_024
        val json: Json = Json {
            encodeDefaults = true
            ignoreUnknownKeys = true
        }

        fun <T> jsonResponse(
            serializer: KSerializer<T>,
            body: T,
            status: HttpStatus = HttpStatus.OK
        ): HttpResponse =
            HttpResponse.of(status, MediaType.JSON, json.encodeToString(serializer, body))

        fun withBody(request: HttpRequest, respond: (String) -> HttpResponse): HttpResponse =
            HttpResponse.of(request.aggregate().thenApply { respond(it.contentUtf8()) })

        fun emptyResponse(status: HttpStatus): HttpResponse = HttpResponse.of(status)
    }
}
