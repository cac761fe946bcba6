/*
 * Stand-in for a model engine. It holds artifacts (models and adapters) in memory, gives answers
 * that depend on the prompt only, starts cold, resumes streams, and takes load and unload orders
 * with fencing numbers. It can simulate broken streams and an engine that does not check fencing.
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

/**
 * The setup of an engine.
 *
 * @property memoryBytes the size of its memory, which orders may exceed: tests check for that.
 * @property checksFencing whether it refuses orders whose fencing number is not above the last one.
 * @property preloaded the artifacts that are ready from the start, with their bytes.
 * @property tokenMillis the time between two tokens; 0 sends each as soon as the last is consumed.
 * @property batchSize the batch slots in its reports; it does not delay requests beyond them.
 * @property coldMillis how long it reports a cold state after its start.
 * @property loadMillis the delay of a load.
 * @property weightsUrl the weight store that loads read from, null if they need none.
 */
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

/**
 * The faults that an engine simulates. The first three affect only streams from offset 0, so a
 * resumed stream runs to its end.
 *
 * @property cutAfterTokens after how many frames a stream is aborted, null for never.
 * @property silentAfterTokens after how many frames a stream stalls but stays open, null for never.
 * @property repeatsFrames whether each frame is sent twice.
 * @property forgetsStreams whether a request to resume a stream is answered with 404.
 * @property losesOrders whether orders are answered with 504 and have no effect.
 */
@Serializable
public data class EngineFaults(
    public val cutAfterTokens: Int? = null,
    public val silentAfterTokens: Int? = null,
    public val repeatsFrames: Boolean = false,
    public val forgetsStreams: Boolean = false,
    public val losesOrders: Boolean = false
)

/** A simulated model engine with its HTTP interface. */
public class EngineStandIn(private val setup: EngineSetup) : StandIn() {
    private val bootNumber = System.currentTimeMillis()
    private val reportSequence = AtomicLong()
    private val streams = ConcurrentHashMap<String, GeneratedAnswer>()
    private val openStreams = AtomicInteger()

    @Volatile
    private var coldUntilMillis = System.currentTimeMillis() + setup.coldMillis

    /** The artifacts in its memory. */
    public val memory: EngineMemory = EngineMemory(setup)

    /** The requests to `/v1/chat/completions` that it received. */
    public val callLog: CallLog = CallLog()

    /** The largest number of streams that were open at the same time while it was cold. */
    public val maxInFlightWhileCold: AtomicInteger = AtomicInteger()

    /** The ids of requests whose streams were cancelled. */
    public val cancelledRequestIds: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** The faults that are simulated now. */
    @Volatile
    public var faults: EngineFaults = EngineFaults()

    /** Enters the cold state for [durationMillis]. */
    public fun enterColdState(durationMillis: Long) {
        coldUntilMillis = System.currentTimeMillis() + durationMillis
    }

    override fun configure(builder: ServerBuilder) {
        callLog.configure(builder)
        builder.service("/v1/load", HttpService { _, _ -> loadReport() })
        builder.service(
            "/v1/chat/completions",
            HttpService { context, request ->
                withBody(request) { body -> startAnswer(context, request, body) }
            }
        )
        builder.service("/v1/streams/{id}", HttpService { context, _ -> resumeOrCancel(context) })
        builder.service("/v1/orders", HttpService { _, request -> withBody(request, ::applyOrder) })
        builder.service(
            "/stand-in/faults",
            HttpService { _, request ->
                withBody(request) {
                    faults = json.decodeFromString(EngineFaults.serializer(), it)
                    emptyResponse(HttpStatus.OK)
                }
            }
        )
        builder.service(
            "/stand-in/chill",
            HttpService { context, _ ->
                enterColdState(context.queryParam("millis")?.toLong() ?: 0)
                emptyResponse(HttpStatus.OK)
            }
        )
    }

    private val isCold: Boolean get() = System.currentTimeMillis() < coldUntilMillis

    private fun loadReport(): HttpResponse = jsonResponse(
        Report.serializer(),
        Report(
            number = Number(bootNumber, reportSequence.incrementAndGet()),
            state = if (isCold) "COLD" else "WARM",
            running = openStreams.get().coerceAtMost(setup.batchSize),
            waiting = (openStreams.get() - setup.batchSize).coerceAtLeast(0),
            batchSlots = setup.batchSize,
            ready = memory.readyArtifacts(),
            held = memory.heldBytes().map { Held(it.key, it.value) },
            lastOrder = memory.appliedFence
        )
    )

    private fun startAnswer(
        context: ServiceRequestContext,
        request: HttpRequest,
        body: String
    ): HttpResponse {
        callLog.add(context, request, body)
        val chat = json.decodeFromString(JsonObject.serializer(), body)
        val model = (chat["model"] as? JsonPrimitive)?.content.orEmpty()
        val adapter = (chat["adapter"] as? JsonPrimitive)?.content
        val isReady = listOfNotNull(model, adapter).all { it in memory.readyArtifacts() }
        if (!isReady) return emptyResponse(HttpStatus.NOT_FOUND)
        val requestId = request.headers().get("x-request-id") ?: "chatcmpl-${System.nanoTime()}"
        val answer = GeneratedAnswer(
            requestId = requestId,
            prompt = chat["messages"].toString() + adapter,
            maxTokens = (chat["max_tokens"] as? JsonPrimitive)?.long?.toInt() ?: DEFAULT_MAX_TOKENS
        )
        streams[requestId] = answer
        val fromOffset = (chat["resume_offset"] as? JsonPrimitive)?.long ?: 0
        val isFirstAttempt = fromOffset == 0L
        return streamAnswer(
            context,
            answer,
            fromOffset.toInt(),
            if (isFirstAttempt) faults else NO_FAULTS
        )
    }

    private fun resumeOrCancel(context: ServiceRequestContext): HttpResponse {
        val id = context.pathParam("id").orEmpty()
        if (context.method().name == "DELETE") {
            cancelledRequestIds.add(id)
            streams.remove(id)
            return emptyResponse(HttpStatus.OK)
        }
        val answer = streams[id]
        if (answer == null || faults.forgetsStreams) return emptyResponse(HttpStatus.NOT_FOUND)
        val fromOffset = context.queryParam("offset")?.toInt() ?: 0
        return streamAnswer(context, answer, fromOffset, NO_FAULTS)
    }

    private fun streamAnswer(
        context: ServiceRequestContext,
        answer: GeneratedAnswer,
        fromOffset: Int,
        faults: EngineFaults
    ): HttpResponse {
        val inFlight = openStreams.incrementAndGet()
        if (isCold) maxInFlightWhileCold.accumulateAndGet(inFlight, ::maxOf)
        val response = HttpResponse.streaming()
        val headers = ResponseHeaders.builder(HttpStatus.OK)
            .contentType(MediaType.EVENT_STREAM)
            .add("x-engine-state", if (isCold) "cold" else "warm")
            .build()
        response.write(headers)
        response.whenComplete().handle { _, _ ->
            openStreams.decrementAndGet()
        }
        TokenStream(
            eventLoop = context.eventLoop(),
            response = response,
            answer = answer,
            faults = faults,
            tokenMillis = setup.tokenMillis,
            isCancelled = { answer.requestId in cancelledRequestIds }
        ).start(fromOffset)
        return response
    }

    private fun applyOrder(body: String): HttpResponse {
        if (faults.losesOrders) return emptyResponse(HttpStatus.GATEWAY_TIMEOUT)
        val order = json.decodeFromString(Order.serializer(), body)
        val lastReport = Number(bootNumber, reportSequence.get())
        val isApplied = memory.applyOrder(
            order.kind,
            order.artifact,
            order.memoryBytes,
            order.fence
        )
        if (!isApplied) return emptyResponse(HttpStatus.CONFLICT)
        return jsonResponse(Number.serializer(), lastReport, HttpStatus.ACCEPTED)
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
        const val DEFAULT_MAX_TOKENS = 64
        val NO_FAULTS = EngineFaults()
    }
}
