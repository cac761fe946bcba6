/*
 * Stand-in for the external instance list, in which instances register themselves periodically.
 * Entries expire only after a delay, so the list still shows instances that have just crashed.
 */
package mustarddale.standin

import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import java.util.concurrent.ConcurrentHashMap
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/** An instance list whose entries expire [expiryMillis] after their last registration. */
public class InstancesStandIn(private val expiryMillis: Long = 5_000) : StandIn() {
    private val entries = ConcurrentHashMap<String, Entry>()

    override fun configure(builder: ServerBuilder) {
        builder.service(
            "/v1/instances",
            HttpService { _, _ ->
                val nowMillis = System.currentTimeMillis()
                entries.values.removeIf { nowMillis - it.registeredAtMillis > expiryMillis }
                jsonResponse(Listing.serializer(), Listing(entries.values.map { it.instance }))
            }
        )
        builder.service(
            "/v1/instances/{id}",
            HttpService { context, request ->
                withBody(request) {
                    val instance = json.decodeFromString(JsonObject.serializer(), it)
                    val id = context.pathParam("id").orEmpty()
                    entries[id] = Entry(instance, System.currentTimeMillis())
                    emptyResponse(HttpStatus.OK)
                }
            }
        )
    }

    private class Entry(val instance: JsonObject, val registeredAtMillis: Long)

    @Serializable
    private data class Listing(val instances: List<JsonObject>)
}
