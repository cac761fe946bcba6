/*
 * A model engine: a memory of artifacts, a batch of limited size, answers that are a function of
 * the prompt, cold start, streams that can be resumed, and orders with fencing numbers. It can be
 * told to cut or silence streams and to forget fencing.
 */
package mustarddale.standin

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.long
import mustarddale.standin.internal.EngineMemory
import mustarddale.standin.internal.GeneratedAnswer
import mustarddale.standin.internal.TokenStream

/** How an engine is set up. */
@Serializable
public data class EngineSetup(
    public val memoryBytes: Long,
    public val checksFencing: Boolean = true,
    public val preloaded: Map<String, Long> = emptyMap(),
    public val tokenMillis: Long = 0,
    public val batchSize: Int = 32,
    public val coldMillis: Long = 0,
    public val loadMillis: Long = 0,
    public val weightsUrl: String? = null
)

/** How an engine misbehaves. */
@Serializable
public data class EngineFaults(
    public val cutAfterTokens: Int? = null,
    public val silentAfterTokens: Int? = null,
    public val repeatsFrames: Boolean = false,
    public val forgetsStreams: Boolean = false,
    public val losesOrders: Boolean = false
)

/** A stand-in for a model engine. */
public class EngineStandIn(private val setup: EngineSetup) : StandIn() {
    private val bootNumber = System.currentTimeMillis()
    private val reportSequence = AtomicLong()
    private val streams = ConcurrentHashMap<String, GeneratedAnswer>()
    private val running = AtomicInteger()

    @Volatile
    private var coldUntilMillis = System.currentTimeMillis() + setup.coldMillis

    /** What it holds in memory. */
    public val memory: EngineMemory = EngineMemory(setup)

    /** What it has seen. */
    public val callLog: CallLog = CallLog()

    /** The most requests that were under way at the same time while it was cold. */
    public val maxInFlightWhileCold: AtomicInteger = AtomicInteger()

    /** The ids of requests whose streams were cancelled. */
    public val cancelledRequestIds: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** How it misbehaves now. */
    @Volatile
    public var faults: EngineFaults = EngineFaults()

    /** Turns cold for [millis]. */
    public fun chill(millis: Long) {
        coldUntilMillis = System.currentTimeMillis() + millis
    }

    override fun configure(builder: ServerBuilder) {
        callLog.configure(builder)
        builder.service("/v1/load", HttpService { _, _ -> report() })
        builder.service(
            "/v1/chat/completions",
            HttpService { context, request ->
                withBody(request) { body -> chat(context, request, body) }
            }
        )
        builder.service("/v1/streams/{id}", HttpService { context, _ -> resumeOrCancel(context) })
        builder.service("/v1/orders", HttpService { _, request -> withBody(request, ::order) })
        builder.service(
            "/stand-in/faults",
            HttpService { _, request ->
                withBody(request) {
                    faults = json.decodeFromString(EngineFaults.serializer(), it)
                    plain(HttpStatus.OK)
                }
            }
        )
        builder.service(
            "/stand-in/chill",
            HttpService { context, _ ->
                chill(context.queryParam("millis")?.toLong() ?: 0)
                plain(HttpStatus.OK)
            }
        )
    }

    private val isCold: Boolean get() = System.currentTimeMillis() < coldUntilMillis

    private fun report(): HttpResponse = answer(
        Report.serializer(),
        Report(
            number = Number(bootNumber, reportSequence.incrementAndGet()),
            state = if (isCold) "COLD" else "WARM",
            running = running.get().coerceAtMost(setup.batchSize),
            waiting = (running.get() - setup.batchSize).coerceAtLeast(0),
            batchSlots = setup.batchSize,
            ready = memory.ready(),
            held = memory.held().map { Held(it.key, it.value) },
            lastOrder = memory.lastOrder
        )
    )

    private fun chat(
        context: ServiceRequestContext,
        request: HttpRequest,
        body: String
    ): HttpResponse {
        callLog.add(context, request, body)
        val call = json.decodeFromString(JsonObject.serializer(), body)
        val model = (call["model"] as? JsonPrimitive)?.content.orEmpty()
        val adapter = (call["adapter"] as? JsonPrimitive)?.content
        val isReady = listOfNotNull(model, adapter).all { it in memory.ready() }
        if (!isReady) return plain(HttpStatus.NOT_FOUND)
        val requestId = request.headers().get("x-request-id") ?: "chatcmpl-${System.nanoTime()}"
        val generated = GeneratedAnswer(
            requestId = requestId,
            prompt = call["messages"].toString() + adapter,
            maxTokens = (call["max_tokens"] as? JsonPrimitive)?.long?.toInt() ?: DEFAULT_TOKENS
        )
        streams[requestId] = generated
        val fromOffset = (call["resume_offset"] as? JsonPrimitive)?.long ?: 0
        val isFirst = fromOffset == 0L
        return stream(context, generated, fromOffset.toInt(), if (isFirst) faults else NO_FAULTS)
    }

    private fun resumeOrCancel(context: ServiceRequestContext): HttpResponse {
        val id = context.pathParam("id").orEmpty()
        if (context.method().name == "DELETE") {
            cancelledRequestIds.add(id)
            streams.remove(id)
            return plain(HttpStatus.OK)
        }
        val generated = streams[id]
        if (generated == null || faults.forgetsStreams) return plain(HttpStatus.NOT_FOUND)
        val fromOffset = context.queryParam("offset")?.toInt() ?: 0
        return stream(context, generated, fromOffset, NO_FAULTS)
    }

    private fun stream(
        context: ServiceRequestContext,
        generated: GeneratedAnswer,
        fromOffset: Int,
        faults: EngineFaults
    ): HttpResponse {
        val now = running.incrementAndGet()
        if (isCold) maxInFlightWhileCold.accumulateAndGet(now, ::maxOf)
        val response = HttpResponse.streaming()
        val headers = ResponseHeaders.builder(HttpStatus.OK)
            .contentType(MediaType.EVENT_STREAM)
            .add("x-engine-state", if (isCold) "cold" else "warm")
            .build()
        response.write(headers)
        response.whenComplete().handle { _, _ ->
            running.decrementAndGet()
        }
        TokenStream(
            eventLoop = context.eventLoop(),
            response = response,
            answer = generated,
            faults = faults,
            tokenMillis = setup.tokenMillis,
            isCancelled = { generated.requestId in cancelledRequestIds }
        ).start(fromOffset)
        return response
    }

    private fun order(body: String): HttpResponse {
        if (faults.losesOrders) return plain(HttpStatus.GATEWAY_TIMEOUT)
        val order = json.decodeFromString(Order.serializer(), body)
        val lastReport = Number(bootNumber, reportSequence.get())
        val isTaken = memory.take(order.kind, order.artifact, order.memoryBytes, order.fence)
        if (!isTaken) return plain(HttpStatus.CONFLICT)
        return answer(Number.serializer(), lastReport, HttpStatus.ACCEPTED)
    }

    @Serializable
    private data class Held(val name: String, val memoryBytes: Long)

    @Serializable
    private data class Number(val boot: Long, val sequence: Long)

    @Serializable
    private data class Report(
        val number: Number,
        val state: String,
        val running: Int,
        val waiting: Int,
        val batchSlots: Int,
        val ready: List<String>,
        val held: List<Held>,
        val lastOrder: Long
    )

    @Serializable
    private data class Order(
        val kind: String,
        val artifact: String,
        val memoryBytes: Long,
        val fence: Long
    )

    private companion object {
        const val DEFAULT_TOKENS = 64
        val NO_FAULTS = EngineFaults()
    }
}
