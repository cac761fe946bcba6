package mustarddale.instance.caller

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.longOrNull

/** One chunk of an OpenAI chat completion as an engine sent it. */
public class ChatChunk(data: String) {
    private val json = Json.parseToJsonElement(data).jsonObject
    private val choice = (json["choices"] as? JsonArray)?.firstOrNull() as? JsonObject

    /** The text that it adds to the answer. */
    public val text: String
        get() {
            val delta = choice?.get("delta") as? JsonObject
            return (delta?.get("content") as? JsonPrimitive)?.contentOrNull.orEmpty()
        }

    /** Why the answer ended, null if it goes on. */
    public val finishReason: String?
        get() = (choice?.get("finish_reason") as? JsonPrimitive)?.contentOrNull

    /** The OpenAI usage object, null if there is none. */
    public val usage: JsonObject? get() = json["usage"] as? JsonObject

    /** The tokens of prompt and answer together, null if the engine did not say. */
    public val totalTokens: Long?
        get() = (usage?.get("total_tokens") as? JsonPrimitive)?.longOrNull

    /** The chunk for a caller who asked for [model]. */
    public fun forCaller(model: String, includesUsage: Boolean): String {
        val own = setOf("offset", "tokens") + if (includesUsage) emptySet() else setOf("usage")
        val kept: Map<String, JsonElement> = json - own
        return JsonObject(kept + ("model" to JsonPrimitive(model))).toString()
    }
}
