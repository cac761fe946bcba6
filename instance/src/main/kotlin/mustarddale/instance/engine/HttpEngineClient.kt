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

/** Engines over HTTP, as `docs/PROTOCOLS.md` describes them. */
@Suppress("TooGenericExceptionCaught")
public class HttpEngineClient(private val factory: ClientFactory) : EngineClient {
    private val clients = ConcurrentHashMap<String, WebClient>()
    private val json = Json { ignoreUnknownKeys = true }

    override suspend fun fetchReport(server: BackendServer): LoadReport? = try {
        val response = client(server).prepare()
            .get("/v1/load")
            .responseTimeoutMillis(LOAD_TIMEOUT_MILLIS)
            .execute()
            .aggregate()
            .await()
        json.decodeFromString(LoadBody.serializer(), response.contentUtf8()).toReport(server.name)
    } catch (e: CancellationException) {
        throw e
    } catch (_: Exception) {
        null
    }

    override fun startCompletion(server: BackendServer, call: EngineCall): Flow<EngineEvent> {
        val extra = mapOf(
            "stream" to JsonPrimitive(true),
            "stream_options" to JsonObject(mapOf("include_usage" to JsonPrimitive(true))),
            "resume_offset" to JsonPrimitive(call.fromOffset),
            "resume_text" to JsonPrimitive(call.soFar)
        )
        val body = JsonObject(call.body + extra).toString()
        return stream(server, HttpMethod.POST, "/v1/chat/completions", call, body)
    }

    override fun resume(server: BackendServer, call: EngineCall): Flow<EngineEvent> {
        val path = "/v1/streams/${call.requestId}?offset=${call.fromOffset}"
        return stream(server, HttpMethod.GET, path, call, body = "")
    }

    override suspend fun cancel(server: BackendServer, requestId: String) {
        try {
            client(server).delete("/v1/streams/$requestId").aggregate().await()
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            return
        }
    }

    override suspend fun sendOrder(server: BackendServer, order: EngineOrder): OrderAnswer = try {
        val body = json.encodeToString(
            OrderBody.serializer(),
            OrderBody(order.kind, order.artifact, order.memoryBytes, order.fence)
        )
        val request = HttpRequest.of(HttpMethod.POST, "/v1/orders", MediaType.JSON, body)
        orderAnswer(client(server).execute(request).aggregate().await())
    } catch (e: CancellationException) {
        throw e
    } catch (_: UnprocessedRequestException) {
        OrderAnswer.Refused
    } catch (e: Exception) {
        OrderAnswer.Unknown(e.toString())
    }

    private fun orderAnswer(response: AggregatedHttpResponse): OrderAnswer {
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
        call: EngineCall,
        body: String
    ): Flow<EngineEvent> = flow {
        val headers = RequestHeaders.builder(method, path)
            .contentType(MediaType.JSON)
            .add("x-request-id", call.requestId)
            .build()
        val response = client(server).execute(HttpRequest.of(headers, HttpData.ofUtf8(body)))
        try {
            relay(response)
        } catch (e: CancellationException) {
            response.abort()
            throw e
        } catch (e: UnprocessedRequestException) {
            emit(EngineEvent.NotRun(e.toString(), wasReached = false))
        } catch (e: Exception) {
            emit(EngineEvent.Cut(e.toString()))
        } finally {
            response.abort()
        }
    }

    private suspend fun FlowCollector<EngineEvent>.relay(response: HttpResponse) {
        val split = response.split()
        val head = split.headers().await()
        if (head.status() != HttpStatus.OK) {
            emit(refusal(head.status()))
            return
        }
        val isCold = head.get(STATE_HEADER) == COLD
        emit(if (isCold) EngineEvent.Cold else EngineEvent.Alive)
        val events = ServerSentEventParser()
        split.body().asFlow().collect { data ->
            events.add(data.array()).forEach { emit(eventOf(it)) }
        }
        emit(EngineEvent.Cut("the stream ended early"))
    }

    private fun refusal(status: HttpStatus): EngineEvent = when {
        status in NOT_RUN -> EngineEvent.NotRun("status $status", wasReached = true)
        status.isClientError -> EngineEvent.Invalid("status $status")
        else -> EngineEvent.Cut("status $status")
    }

    private fun eventOf(data: String): EngineEvent {
        if (data.isEmpty() || data == DONE) return EngineEvent.Alive
        return try {
            EngineEvent.Frame(frameOf(data))
        } catch (e: SerializationException) {
            EngineEvent.Cut("unreadable frame: ${e.message}")
        } catch (e: IllegalArgumentException) {
            EngineEvent.Cut("unreadable frame: ${e.message}")
        }
    }

    private fun frameOf(data: String): StreamFrame {
        val chunk = json.parseToJsonElement(data).jsonObject
        val choice = chunk["choices"]?.jsonArray?.firstOrNull()?.jsonObject
        val reason = choice?.get("finish_reason")
        return StreamFrame(
            requestId = requireNotNull(chunk["id"]) { "no id" }.jsonPrimitive.content,
            offset = requireNotNull(chunk["offset"]) { "no offset" }.jsonPrimitive.long,
            tokens = requireNotNull(chunk["tokens"]) { "no tokens" }.jsonPrimitive.long.toInt(),
            data = data,
            isLast = reason != null && reason != JsonNull
        )
    }

    private fun client(server: BackendServer): WebClient = clients.computeIfAbsent(server.url) {
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
        const val COLD = "cold"
        val NOT_RUN = setOf(
            HttpStatus.SERVICE_UNAVAILABLE,
            HttpStatus.TOO_MANY_REQUESTS,
            HttpStatus.NOT_FOUND,
            HttpStatus.CONFLICT
        )
        const val DONE = "[DONE]"
        const val LOAD_TIMEOUT_MILLIS = 1_000L
    }
}
