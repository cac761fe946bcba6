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

/** A small stand-in for an outside system, served over HTTP on loopback. */
public abstract class StandIn : AutoCloseable {
    private lateinit var server: Server

    /** The URL that it listens on. */
    public val url: String get() = "http://$HOST:${server.activeLocalPort()}"

    /** Starts it on [port], 0 for any. */
    public fun start(port: Int = 0) {
        val builder = Server.builder()
            .http(InetSocketAddress(HOST, port))
            .requestTimeoutMillis(0)
            .maxRequestLength(MAX_BODY_BYTES)
        configure(builder)
        server = builder.build()
        server.start().join()
    }

    /** Stops it; the future ends when it has stopped. */
    public fun stop(): CompletableFuture<Void> = server.stop()

    override fun close() {
        if (::server.isInitialized) stop().join()
    }

    /** Adds what it serves. */
    protected abstract fun configure(builder: ServerBuilder)

    internal companion object {
        const val HOST = "127.0.0.1"
        private const val MAX_BODY_BYTES = 64L * 1_024 * 1_024
        val json: Json = Json {
            encodeDefaults = true
            ignoreUnknownKeys = true
        }

        fun <T> answer(
            serializer: KSerializer<T>,
            body: T,
            status: HttpStatus = HttpStatus.OK
        ): HttpResponse =
            HttpResponse.of(status, MediaType.JSON, json.encodeToString(serializer, body))

        fun withBody(request: HttpRequest, answer: (String) -> HttpResponse): HttpResponse =
            HttpResponse.of(request.aggregate().thenApply { answer(it.contentUtf8()) })

        fun plain(status: HttpStatus): HttpResponse = HttpResponse.of(status)
    }
}
