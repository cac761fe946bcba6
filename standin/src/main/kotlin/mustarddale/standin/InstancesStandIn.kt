/*
 * The platform's list of instances. A line that is not renewed goes after a while, so the list lags
 * behind what is really there.
 */
package mustarddale.standin

import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import java.util.concurrent.ConcurrentHashMap
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/** A stand-in for the instance list; lines stay for [keptMillis]. */
public class InstancesStandIn(private val keptMillis: Long = 5_000) : StandIn() {
    private val lines = ConcurrentHashMap<String, Line>()

    override fun configure(builder: ServerBuilder) {
        builder.service(
            "/v1/instances",
            HttpService { _, _ ->
                val now = System.currentTimeMillis()
                lines.values.removeIf { now - it.seenAtMillis > keptMillis }
                answer(Listing.serializer(), Listing(lines.values.map { it.line }))
            }
        )
        builder.service(
            "/v1/instances/{id}",
            HttpService { context, request ->
                withBody(request) {
                    val line = json.decodeFromString(JsonObject.serializer(), it)
                    val id = context.pathParam("id").orEmpty()
                    lines[id] = Line(line, System.currentTimeMillis())
                    plain(HttpStatus.OK)
                }
            }
        )
    }

    private class Line(val line: JsonObject, val seenAtMillis: Long)

    @Serializable
    private data class Listing(val instances: List<JsonObject>)
}
