/*
 * Stand-in for a plain HTTP service: look-ups are safe to repeat, bookings are not. It counts the
 * runs of each booking so that a test can detect a duplicate.
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

/**
 * The faults that the service simulates.
 *
 * @property losesAnswers whether bookings run but their responses are aborted after the headers.
 * @property answerDelayMillis how long the response to a booking is delayed after it ran.
 */
@Serializable
public data class ServiceFaults(
    public val losesAnswers: Boolean = false,
    public val answerDelayMillis: Long = 0
)

/** A simulated service with the routes `/bookings` and `/lookups`. */
public class ServiceStandIn : StandIn() {
    private val bookingCount = AtomicInteger()

    /** The number of times that each booking ran, by its idempotency key. */
    public val runsByKey: ConcurrentHashMap<String, Int> = ConcurrentHashMap()

    /** The requests for bookings and look-ups that it received. */
    public val callLog: CallLog = CallLog()

    /** The faults that are simulated now. */
    @Volatile
    public var faults: ServiceFaults = ServiceFaults()

    override fun configure(builder: ServerBuilder) {
        callLog.configure(builder)
        builder.service(
            "/stand-in/faults",
            HttpService { _, request ->
                withBody(request) {
                    faults = json.decodeFromString(ServiceFaults.serializer(), it)
                    emptyResponse(HttpStatus.OK)
                }
            }
        )
        builder.service(
            "regex:^/bookings(/.*)?\$",
            HttpService { context, request ->
                withBody(request) { body ->
                    callLog.add(context, request, body)
                    if (context.method().name == "GET") countBookings() else book(request.headers())
                }
            }
        )
        builder.service(
            "regex:^/lookups(/.*)?\$",
            HttpService { context, request ->
                withBody(request) { body ->
                    callLog.add(context, request, body)
                    val query = context.queryParam("q").orEmpty()
                    jsonResponse(Lookup.serializer(), Lookup(query, "Sedum ${query.length}"))
                }
            }
        )
    }

    private fun book(headers: RequestHeaders): HttpResponse {
        val idempotencyKey = headers.get("idempotency-key").orEmpty()
        runsByKey.merge(idempotencyKey, 1, Int::plus)
        val booking = Booked("booking-${bookingCount.incrementAndGet()}", idempotencyKey)
        val activeFaults = faults
        if (activeFaults.losesAnswers) return abortedResponse()
        val response = jsonResponse(Booked.serializer(), booking, HttpStatus.CREATED)
        if (activeFaults.answerDelayMillis == 0L) return response
        return HttpResponse.delayed(response, Duration.ofMillis(activeFaults.answerDelayMillis))
    }

    private fun abortedResponse(): HttpResponse {
        val response = HttpResponse.streaming()
        response.write(ResponseHeaders.of(HttpStatus.CREATED))
        response.abort()
        return response
    }

    private fun countBookings(): HttpResponse =
        jsonResponse(Bookings.serializer(), Bookings(runsByKey.size))

    @Serializable
    private data class Booked(val bookingId: String, val idempotencyKey: String)

    @Serializable
    private data class Bookings(val count: Int)

    @Serializable
    private data class Lookup(val query: String, val name: String)
}
