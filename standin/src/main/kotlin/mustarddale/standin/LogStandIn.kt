/*
 * The platform's append-only log, in memory. It can be told to be down, to lose the answers of
 * appends that took effect, and to keep only so many records.
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

/** How the log misbehaves. */
@Serializable
public data class LogFaults(
    public val isDown: Boolean = false,
    public val losesAnswers: Boolean = false,
    public val keptRecords: Int = Int.MAX_VALUE
)

/** The records of a log, which several fronts may serve. */
public class InMemoryLog {
    internal val records = ArrayDeque<LogRecord>()
    internal var nextOffset = 0L
    internal var waiters = CompletableFuture<Unit>()

    /** The records that are kept now. */
    public fun snapshot(): List<LogRecord> = synchronized(this) { records.toList() }
}

/** A stand-in for the log: a front to [log] with faults of its own. */
public class LogStandIn(private val log: InMemoryLog = InMemoryLog()) : StandIn() {

    /** How it misbehaves now. */
    @Volatile
    public var faults: LogFaults = LogFaults()

    override fun configure(builder: ServerBuilder) {
        builder.service(
            "/v1/records",
            HttpService { context, request ->
                when {
                    faults.isDown -> plain(HttpStatus.SERVICE_UNAVAILABLE)
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
                    plain(HttpStatus.OK)
                }
            }
        )
    }

    /** Appends [data] as a writer of its own would. */
    public fun append(data: List<String>): Long = synchronized(log) {
        val first = log.nextOffset
        data.forEach {
            log.records.addLast(LogRecord(log.nextOffset++, System.currentTimeMillis(), it))
        }
        while (log.records.size > faults.keptRecords) log.records.removeFirst()
        log.waiters.complete(Unit)
        log.waiters = CompletableFuture()
        first
    }

    private fun append(body: String): HttpResponse {
        val request = json.decodeFromString(AppendRequest.serializer(), body)
        val first = append(request.records)
        if (faults.losesAnswers) return plain(HttpStatus.GATEWAY_TIMEOUT)
        return answer(AppendResponse.serializer(), AppendResponse(first))
    }

    private fun read(context: ServiceRequestContext): HttpResponse {
        val from = context.queryParam("from")?.toLong() ?: 0
        val waitMillis = context.queryParam("waitMillis")?.toLong() ?: 0
        val waiter = synchronized(log) {
            if (from < log.nextOffset || waitMillis == 0L) return page(from)
            log.waiters
        }
        val woken = CompletableFuture<Unit>()
        waiter.thenRun { woken.complete(Unit) }
        context.eventLoop().schedule({ woken.complete(Unit) }, waitMillis, TimeUnit.MILLISECONDS)
        return HttpResponse.of(woken.thenApply { if (faults.isDown) down() else page(from) })
    }

    private fun page(from: Long): HttpResponse = synchronized(log) {
        val first = log.records.firstOrNull()?.offset ?: log.nextOffset
        if (from < first) {
            return answer(AgedOut.serializer(), AgedOut(first), HttpStatus.GONE)
        }
        val page = log.records.drop((from - first).toInt()).take(PAGE)
        return answer(ReadResponse.serializer(), ReadResponse(page, log.nextOffset))
    }

    private fun down(): HttpResponse = plain(HttpStatus.SERVICE_UNAVAILABLE)

    @Serializable
    private data class AppendRequest(val records: List<String>)

    @Serializable
    private data class AppendResponse(val firstOffset: Long)

    @Serializable
    private data class ReadResponse(val records: List<LogRecord>, val endOffset: Long)

    @Serializable
    private data class AgedOut(val firstOffset: Long)

    private companion object {
        const val PAGE = 500
    }
}
