package mustarddale.standin

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import java.util.concurrent.ConcurrentLinkedDeque
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import mustarddale.standin.StandIn.Companion.jsonResponse

/**
 * A request as a stand-in received it.
 *
 * @property target the path with its query.
 * @property headers one `name: value` line for each header.
 */
@Serializable
public data class SeenCall(
    public val method: String,
    public val target: String,
    public val headers: List<String>,
    public val body: String
)

/** Records the most recent requests that a stand-in received, for tests to inspect. */
public class CallLog {
    private val recorded = ConcurrentLinkedDeque<SeenCall>()

    /** The recorded requests, oldest first. */
    public val calls: List<SeenCall> get() = recorded.toList()

    /** Records a request, and drops the oldest one if the log is full. */
    public fun add(context: ServiceRequestContext, request: HttpRequest, body: String) {
        val headers = request.headers().map { "${it.key}: ${it.value}" }
        val target = context.path() + context.query()?.let { "?$it" }.orEmpty()
        recorded.addLast(SeenCall(context.method().name, target, headers, body))
        if (recorded.size > MAX_CALLS) recorded.pollFirst()
    }

    /** Serves the recorded requests as JSON at `/stand-in/calls`. */
    public fun configure(builder: ServerBuilder) {
        builder.service(
            "/stand-in/calls",
            HttpService { _, _ ->
                jsonResponse(ListSerializer(SeenCall.serializer()), calls)
            }
        )
    }

    private companion object {
        const val MAX_CALLS = 10_000
    }
}
