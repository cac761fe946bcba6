package mustarddale.instance.caller

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.longOrNull
import mustarddale.config.ConfigurationIndex
import mustarddale.config.ModelEntry
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure

/**
 * A valid chat completion request.
 *
 * @property body the request body for the engine, with a limit on the tokens of the completion.
 * @property includesUsage whether the caller requested the token usage in the stream.
 * @property reservedTokens an upper bound on the tokens of prompt and completion together.
 */
public data class ChatRequest(
    public val entry: ModelEntry,
    public val body: JsonObject,
    public val isStreamed: Boolean,
    public val includesUsage: Boolean,
    public val reservedTokens: Double
) {
    public companion object {
        /** An upper bound on the tokens that a chat template adds to one message. */
        private const val MAX_TEMPLATE_TOKENS = 16

        /** Parses [text] and validates it against the models in [index]. */
        public fun parse(text: String, index: ConfigurationIndex): Outcome<ChatRequest> {
            val body = parseObject(text)
                ?: return invalid("the body is not a JSON object", "body")
            val name = (body["model"] as? JsonPrimitive)?.takeIf { it.isString }?.content
                ?: return invalid("model: must be a string", "model")
            val entry = index.models[name] ?: return failure(
                ErrorKind.MODEL_UNKNOWN,
                "model \"$name\" does not exist",
                "model"
            )
            return validate(body, entry)
        }

        private fun validate(body: JsonObject, entry: ModelEntry): Outcome<ChatRequest> {
            val messages = body["messages"]
            if (messages !is JsonArray || messages.isEmpty()) {
                return invalid("messages: must be a non-empty array", "messages")
            }
            if (messages.any { it !is JsonObject || "role" !in it }) {
                return invalid("messages: each element must be an object with a role", "messages")
            }
            val choices = body["n"].asLong()
            if (choices != null && choices != 1L) {
                return invalid("n: must be 1; other values are not supported", "n")
            }
            val limitField = if ("max_completion_tokens" in body) MAX_COMPLETION else MAX_TOKENS
            val requested = body[limitField]
            val limit = requested.asLong() ?: entry.model.maxOutputTokens
            if (limit < 1 || (requested != null && requested.asLong() == null)) {
                return invalid("$limitField: must be a positive integer", limitField)
            }
            return Outcome.Success(create(body, entry, minOf(limit, entry.model.maxOutputTokens)))
        }

        private fun create(body: JsonObject, entry: ModelEntry, limit: Long): ChatRequest {
            val messages = body.getValue("messages").jsonArray
            val promptBytes = messages.toString().toByteArray().size
            val promptTokens = promptBytes * entry.model.maxTokensPerByte +
                messages.size * MAX_TEMPLATE_TOKENS
            val options = body["stream_options"] as? JsonObject
            val overrides = mapOf(
                MAX_TOKENS to JsonPrimitive(limit),
                "model" to JsonPrimitive(entry.model.name)
            )
            val adapter = entry.adapter?.let { mapOf("adapter" to JsonPrimitive(it.name)) }
            return ChatRequest(
                entry = entry,
                body = JsonObject(body - MAX_COMPLETION + overrides + adapter.orEmpty()),
                isStreamed = body["stream"].asBoolean(),
                includesUsage = options?.get("include_usage").asBoolean(),
                reservedTokens = promptTokens + limit
            )
        }

        private fun parseObject(text: String): JsonObject? = try {
            Json.parseToJsonElement(text) as? JsonObject
        } catch (_: SerializationException) {
            null
        }

        private fun JsonElement?.asLong(): Long? = (this as? JsonPrimitive)?.longOrNull

        private fun JsonElement?.asBoolean(): Boolean =
            (this as? JsonPrimitive)?.booleanOrNull ?: false

        private fun invalid(message: String, field: String): Outcome.Failure =
            failure(ErrorKind.INVALID_REQUEST, message, field)

        private const val MAX_TOKENS = "max_tokens"
        private const val MAX_COMPLETION = "max_completion_tokens"
    }
}
