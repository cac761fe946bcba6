/*
 * Stand-in for the external append-only log, with its records in memory. It can simulate an outage,
 * lost responses to appends that took effect, and a log that has dropped its oldest records.
 */
package mustarddale.standin

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlinx.serialization.Serializable
import mustarddale.control.LogRecord

/**
 * The faults that a log endpoint simulates.
 *
 * @property isDown whether every request is answered with 503.
 * @property losesAnswers whether appends take effect but are answered with 504.
 * @property keptRecords how many of the newest records remain after an append at this endpoint.
 */
@Serializable
public data class LogFaults(
    public val isDown: Boolean = false,
    public val losesAnswers: Boolean = false,
    public val keptRecords: Int = Int.MAX_VALUE
)

/** The records of a log, which several [LogStandIn] endpoints may share. */
public class InMemoryLog {
    internal val records = ArrayDeque<LogRecord>()
    internal var nextOffset = 0L
    internal var nextAppend = CompletableFuture<Unit>()

    /** Returns a copy of the retained records. */
    public fun snapshot(): List<LogRecord> = synchronized(this) { records.toList() }
}

/** An HTTP endpoint of [log] that simulates [faults] independently of its other endpoints. */
public class LogStandIn(private val log: InMemoryLog = InMemoryLog()) : StandIn() {

    /** The faults that are simulated now. */
    @Volatile
    public var faults: LogFaults = LogFaults()

    override fun configure(builder: ServerBuilder) {
        builder.service(
            "/v1/records",
            HttpService { context, request ->
                when {
                    faults.isDown -> emptyResponse(HttpStatus.SERVICE_UNAVAILABLE)
                    context.method().name == "POST" -> withBody(request, ::append)
                    else -> read(context)
                }
            }
        )
        builder.service(
            "/stand-in/faults",
            HttpService { _, request ->
                withBody(request) {
                    faults = json.decodeFromString(LogFaults.serializer(), it)
                    emptyResponse(HttpStatus.OK)
                }
            }
        )
    }

    /** Appends [data] directly, ignoring simulated outages, and returns the first new offset. */
    public fun append(data: List<String>): Long = synchronized(log) {
        val firstOffset = log.nextOffset
        data.forEach {
            log.records.addLast(LogRecord(log.nextOffset++, System.currentTimeMillis(), it))
        }
        while (log.records.size > faults.keptRecords) log.records.removeFirst()
        log.nextAppend.complete(Unit)
        log.nextAppend = CompletableFuture()
        firstOffset
    }

    private fun append(body: String): HttpResponse {
        val request = json.decodeFromString(AppendRequest.serializer(), body)
        val firstOffset = append(request.records)
        if (faults.losesAnswers) return emptyResponse(HttpStatus.GATEWAY_TIMEOUT)
        return jsonResponse(AppendResponse.serializer(), AppendResponse(firstOffset))
    }

    private fun read(context: ServiceRequestContext): HttpResponse {
        val fromOffset = context.queryParam("from")?.toLong() ?: 0
        val waitMillis = context.queryParam("waitMillis")?.toLong() ?: 0
        val nextAppend = synchronized(log) {
            if (fromOffset < log.nextOffset || waitMillis == 0L) return readPage(fromOffset)
            log.nextAppend
        }
        val wakeUp = CompletableFuture<Unit>()
        nextAppend.thenRun { wakeUp.complete(Unit) }
        context.eventLoop().schedule({ wakeUp.complete(Unit) }, waitMillis, TimeUnit.MILLISECONDS)
        return HttpResponse.of(
            wakeUp.thenApply {
                if (faults.isDown) unavailableResponse() else readPage(fromOffset)
            }
        )
    }

    private fun readPage(fromOffset: Long): HttpResponse = synchronized(log) {
        val oldestOffset = log.records.firstOrNull()?.offset ?: log.nextOffset
        if (fromOffset < oldestOffset) {
            return jsonResponse(AgedOut.serializer(), AgedOut(oldestOffset), HttpStatus.GONE)
        }
        val records = log.records.drop((fromOffset - oldestOffset).toInt()).take(MAX_PAGE_RECORDS)
        return jsonResponse(ReadResponse.serializer(), ReadResponse(records, log.nextOffset))
    }

    private fun unavailableResponse(): HttpResponse = emptyResponse(HttpStatus.SERVICE_UNAVAILABLE)

    @Serializable
    private data class AppendRequest(val records: List<String>)

    @Serializable
    private data class AppendResponse(val firstOffset: Long)

    @Serializable
    private data class ReadResponse(val records: List<LogRecord>, val endOffset: Long)

    @Serializable
    private data class AgedOut(val firstOffset: Long)

    private companion object {
        const val MAX_PAGE_RECORDS = 500
    }
}
