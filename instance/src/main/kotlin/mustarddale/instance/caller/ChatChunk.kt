package mustarddale.instance.caller

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.longOrNull

/** One chunk of an OpenAI chat completion stream, as an engine sent it in [data]. */
public class ChatChunk(data: String) {
    private val json = Json.parseToJsonElement(data).jsonObject
    private val choice = (json["choices"] as? JsonArray)?.firstOrNull() as? JsonObject

    /** The text that the chunk adds to the completion. */
    public val text: String
        get() {
            val delta = choice?.get("delta") as? JsonObject
            return (delta?.get("content") as? JsonPrimitive)?.contentOrNull.orEmpty()
        }

    /** The reason why the completion ended, null if it continues. */
    public val finishReason: String?
        get() = (choice?.get("finish_reason") as? JsonPrimitive)?.contentOrNull

    /** The OpenAI usage object, null if the chunk has none. */
    public val usage: JsonObject? get() = json["usage"] as? JsonObject

    /** The number of prompt and completion tokens together, null if the chunk has no usage. */
    public val totalTokens: Long?
        get() = (usage?.get("total_tokens") as? JsonPrimitive)?.longOrNull

    /** Returns the chunk for a caller who requested [model], without the engine's own fields. */
    public fun toCallerJson(model: String, includesUsage: Boolean): String {
        val dropped = setOf("offset", "tokens") + if (includesUsage) emptySet() else setOf("usage")
        val remaining: Map<String, JsonElement> = json - dropped
        return JsonObject(remaining + ("model" to JsonPrimitive(model))).toString()
    }
}
