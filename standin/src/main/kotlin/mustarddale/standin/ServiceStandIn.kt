/*
 * A plain service of the users: look-ups that may be repeated, and bookings that may not. It counts
 * how often each booking ran, so that a test can see a second run.
 */
package mustarddale.standin

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.serialization.Serializable

/** How the service misbehaves. */
@Serializable
public data class ServiceFaults(
    public val losesAnswers: Boolean = false,
    public val answerDelayMillis: Long = 0
)

/** A stand-in for a plain service. */
public class ServiceStandIn : StandIn() {
    private val counter = AtomicInteger()

    /** How often each booking, by its idempotency key, has run. */
    public val runsByKey: ConcurrentHashMap<String, Int> = ConcurrentHashMap()

    /** What it has seen. */
    public val callLog: CallLog = CallLog()

    /** How it misbehaves now. */
    @Volatile
    public var faults: ServiceFaults = ServiceFaults()

    override fun configure(builder: ServerBuilder) {
        callLog.configure(builder)
        builder.service(
            "/stand-in/faults",
            HttpService { _, request ->
                withBody(request) {
                    faults = json.decodeFromString(ServiceFaults.serializer(), it)
                    plain(HttpStatus.OK)
                }
            }
        )
        builder.service(
            "regex:^/bookings(/.*)?\$",
            HttpService { context, request ->
                withBody(request) { body ->
                    callLog.add(context, request, body)
                    if (context.method().name == "GET") list() else book(request.headers())
                }
            }
        )
        builder.service(
            "regex:^/lookups(/.*)?\$",
            HttpService { context, request ->
                withBody(request) { body ->
                    callLog.add(context, request, body)
                    val query = context.queryParam("q").orEmpty()
                    answer(Lookup.serializer(), Lookup(query, "Sedum ${query.length}"))
                }
            }
        )
    }

    private fun book(headers: RequestHeaders): HttpResponse {
        val key = headers.get("idempotency-key").orEmpty()
        runsByKey.merge(key, 1, Int::plus)
        val booking = Booked("booking-${counter.incrementAndGet()}", key)
        val now = faults
        if (now.losesAnswers) return lost()
        val answer = answer(Booked.serializer(), booking, HttpStatus.CREATED)
        if (now.answerDelayMillis == 0L) return answer
        return HttpResponse.delayed(answer, Duration.ofMillis(now.answerDelayMillis))
    }

    private fun lost(): HttpResponse {
        val response = HttpResponse.streaming()
        response.write(ResponseHeaders.of(HttpStatus.CREATED))
        response.abort()
        return response
    }

    private fun list(): HttpResponse = answer(Bookings.serializer(), Bookings(runsByKey.size))

    @Serializable
    private data class Booked(val bookingId: String, val idempotencyKey: String)

    @Serializable
    private data class Bookings(val count: Int)

    @Serializable
    private data class Lookup(val query: String, val name: String)
}
