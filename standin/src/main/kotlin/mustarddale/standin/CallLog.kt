package mustarddale.standin

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import java.util.concurrent.ConcurrentLinkedDeque
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import mustarddale.standin.StandIn.Companion.answer

/** A call as a backend server saw it. */
@Serializable
public data class SeenCall(
    public val method: String,
    public val target: String,
    public val headers: List<String>,
    public val body: String
)

/** The last calls that a backend server saw, for tests to look at. */
public class CallLog {
    private val seen = ConcurrentLinkedDeque<SeenCall>()

    /** All calls that are kept. */
    public val calls: List<SeenCall> get() = seen.toList()

    /** Keeps a call. */
    public fun add(context: ServiceRequestContext, request: HttpRequest, body: String) {
        val headers = request.headers().map { "${it.key}: ${it.value}" }
        val target = context.path() + context.query()?.let { "?$it" }.orEmpty()
        seen.addLast(SeenCall(context.method().name, target, headers, body))
        if (seen.size > MAX_KEPT) seen.pollFirst()
    }

    /** Serves the calls under `/stand-in/calls`. */
    public fun configure(builder: ServerBuilder) {
        builder.service(
            "/stand-in/calls",
            HttpService { _, _ ->
                answer(ListSerializer(SeenCall.serializer()), calls)
            }
        )
    }

    private companion object {
        const val MAX_KEPT = 10_000
    }
}
