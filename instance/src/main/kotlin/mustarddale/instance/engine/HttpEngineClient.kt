package mustarddale.instance.engine

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.future.await
import kotlinx.coroutines.reactive.asFlow
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import mustarddale.answer.StreamFrame
import mustarddale.config.BackendServer
import mustarddale.memory.HeldArtifact
import mustarddale.memory.OrderKind
import mustarddale.memory.ReportNumber
import mustarddale.routing.LoadReport
import mustarddale.routing.Warmth

/** An [EngineClient] for the HTTP protocol in `docs/PROTOCOLS.md`. */
@Suppress("TooGenericExceptionCaught")
public class HttpEngineClient(private val factory: ClientFactory) : EngineClient {
    private val clients = ConcurrentHashMap<String, WebClient>()
    private val json = Json { ignoreUnknownKeys = true }

    override suspend fun fetchReport(server: BackendServer): LoadReport? = try {
        val response = clientFor(server).prepare()
            .get("/v1/load")
            .responseTimeoutMillis(REPORT_TIMEOUT_MILLIS)
            .execute()
            .aggregate()
            .await()
        response.takeIf { it.status() == HttpStatus.OK }?.let {
            json.decodeFromString(LoadBody.serializer(), it.contentUtf8()).toReport(server.name)
        }
    } catch (e: CancellationException) {
        throw e
    } catch (_: Exception) {
        null
    }

    override fun startCompletion(server: BackendServer, request: EngineRequest): Flow<EngineEvent> {
        val overrides = mapOf(
            "stream" to JsonPrimitive(true),
            "stream_options" to JsonObject(mapOf("include_usage" to JsonPrimitive(true))),
            "resume_offset" to JsonPrimitive(request.resumeOffset),
            "resume_text" to JsonPrimitive(request.resumeText)
        )
        val body = JsonObject(request.body + overrides).toString()
        return stream(server, HttpMethod.POST, "/v1/chat/completions", request, body)
    }

    override fun resume(server: BackendServer, request: EngineRequest): Flow<EngineEvent> {
        val path = "/v1/streams/${request.requestId}?offset=${request.resumeOffset}"
        return stream(server, HttpMethod.GET, path, request, body = "")
    }

    override suspend fun cancel(server: BackendServer, requestId: String) {
        try {
            clientFor(server).delete("/v1/streams/$requestId").aggregate().await()
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            return
        }
    }

    override suspend fun sendOrder(server: BackendServer, order: EngineOrder): OrderAnswer = try {
        val body = json.encodeToString(
            OrderBody.serializer(),
            OrderBody(order.kind, order.artifact, order.memoryBytes, order.fencingToken)
        )
        val request = HttpRequest.of(HttpMethod.POST, "/v1/orders", MediaType.JSON, body)
        toOrderAnswer(clientFor(server).execute(request).aggregate().await())
    } catch (e: CancellationException) {
        throw e
    } catch (_: UnprocessedRequestException) {
        OrderAnswer.Refused
    } catch (e: Exception) {
        OrderAnswer.Unknown(e.toString())
    }

    private fun toOrderAnswer(response: AggregatedHttpResponse): OrderAnswer {
        val status = response.status()
        return when {
            status.isSuccess -> OrderAnswer.Accepted(
                json.decodeFromString(ReportNumber.serializer(), response.contentUtf8())
            )

            status.isClientError -> OrderAnswer.Refused

            else -> OrderAnswer.Unknown(status.toString())
        }
    }

    private fun stream(
        server: BackendServer,
        method: HttpMethod,
        path: String,
        request: EngineRequest,
        body: String
    ): Flow<EngineEvent> = flow {
        val headers = RequestHeaders.builder(method, path)
            .contentType(MediaType.JSON)
            .add("x-request-id", request.requestId)
            .build()
        val response = clientFor(server).execute(HttpRequest.of(headers, HttpData.ofUtf8(body)))
        try {
            emitEvents(response)
        } catch (e: CancellationException) {
            response.abort()
            throw e
        } catch (e: UnprocessedRequestException) {
            emit(EngineEvent.NotExecuted(e.toString(), wasReached = false))
        } catch (e: Exception) {
            emit(EngineEvent.Interrupted(e.toString()))
        } finally {
            response.abort()
        }
    }

    private suspend fun FlowCollector<EngineEvent>.emitEvents(response: HttpResponse) {
        val splitResponse = response.split()
        val responseHeaders = splitResponse.headers().await()
        if (responseHeaders.status() != HttpStatus.OK) {
            emit(eventForStatus(responseHeaders.status()))
            return
        }
        val isCold = responseHeaders.get(STATE_HEADER) == COLD_STATE
        emit(if (isCold) EngineEvent.Cold else EngineEvent.KeepAlive)
        val parser = ServerSentEventParser()
        splitResponse.body().asFlow().collect { data ->
            parser.parse(data.array()).forEach { emit(toEvent(it)) }
        }
        emit(EngineEvent.Interrupted("the stream ended before its last frame"))
    }

    private fun eventForStatus(status: HttpStatus): EngineEvent = when {
        status in NOT_EXECUTED -> EngineEvent.NotExecuted("status $status", wasReached = true)
        status.isClientError -> EngineEvent.InvalidRequest("status $status")
        else -> EngineEvent.Interrupted("status $status")
    }

    private fun toEvent(data: String): EngineEvent {
        if (data.isEmpty() || data == DONE_MARKER) return EngineEvent.KeepAlive
        return try {
            EngineEvent.Frame(toFrame(data))
        } catch (e: SerializationException) {
            EngineEvent.Interrupted("invalid frame: ${e.message}")
        } catch (e: IllegalArgumentException) {
            EngineEvent.Interrupted("invalid frame: ${e.message}")
        }
    }

    private fun toFrame(data: String): StreamFrame {
        val chunk = json.parseToJsonElement(data).jsonObject
        val choice = chunk["choices"]?.jsonArray?.firstOrNull()?.jsonObject
        val finishReason = choice?.get("finish_reason")
        return StreamFrame(
            requestId = requireNotNull(chunk["id"]) { "no id" }.jsonPrimitive.content,
            offset = requireNotNull(chunk["offset"]) { "no offset" }.jsonPrimitive.long,
            tokens = requireNotNull(chunk["tokens"]) { "no tokens" }.jsonPrimitive.long.toInt(),
            data = data,
            isLast = finishReason != null && finishReason != JsonNull
        )
    }

    private fun clientFor(server: BackendServer): WebClient = clients.computeIfAbsent(server.url) {
        WebClient.builder(it)
            .factory(factory)
            .responseTimeoutMillis(0)
            .maxResponseLength(0)
            .setHeader(HttpHeaderNames.USER_AGENT, "mustarddale")
            .build()
    }

    @Serializable
    private data class LoadBody(
        val number: ReportNumber,
        val state: Warmth,
        val running: Int,
        val waiting: Int,
        val batchSlots: Int,
        val ready: List<String>,
        val held: List<HeldArtifact>,
        val lastOrder: Long
    ) {
        fun toReport(server: String): LoadReport = LoadReport(
            server = server,
            number = number,
            warmth = state,
            running = running,
            waiting = waiting,
            batchSlots = batchSlots,
            ready = ready,
            held = held,
            appliedFence = lastOrder
        )
    }

    @Serializable
    private data class OrderBody(
        val kind: OrderKind,
        val artifact: String,
        val memoryBytes: Long,
        val fence: Long
    )

    private companion object {
        const val STATE_HEADER = "x-engine-state"
        const val COLD_STATE = "cold"
        val NOT_EXECUTED = setOf(
            HttpStatus.SERVICE_UNAVAILABLE,
            HttpStatus.TOO_MANY_REQUESTS,
            HttpStatus.NOT_FOUND,
            HttpStatus.CONFLICT
        )
        const val DONE_MARKER = "[DONE]"
        const val REPORT_TIMEOUT_MILLIS = 1_000L
    }
}
