package mustarddale.standin.internal

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** An answer that is a function of its prompt. */
public class GeneratedAnswer(
    public val requestId: String,
    private val prompt: String,
    maxTokens: Int
) {
    private val seed = prompt.hashCode()

    /** How many tokens it has. */
    public val tokens: Int = minOf(maxTokens, LEAST_TOKENS + Math.floorMod(seed, MORE_TOKENS))

    /** The frame of the token at [offset], or the last frame behind all tokens. */
    public fun frame(offset: Int): String = if (offset < tokens) token(offset) else end()

    private fun token(offset: Int): String {
        val word = WORDS[Math.floorMod(seed + offset * STEP, WORDS.size)]
        val delta = JsonObject(
            mapOf("role" to JsonPrimitive("assistant"), "content" to JsonPrimitive("$word "))
        )
        return chunk(offset, 1, delta, finishReason = null, usage = emptyMap())
    }

    private fun end(): String {
        val promptTokens = prompt.length / CHARS_PER_TOKEN + 1
        val usage = JsonObject(
            mapOf(
                "prompt_tokens" to JsonPrimitive(promptTokens),
                "completion_tokens" to JsonPrimitive(tokens),
                "total_tokens" to JsonPrimitive(promptTokens + tokens)
            )
        )
        return chunk(tokens, 0, JsonObject(emptyMap()), "stop", mapOf("usage" to usage))
    }

    private fun chunk(
        offset: Int,
        tokens: Int,
        delta: JsonObject,
        finishReason: String?,
        usage: Map<String, JsonObject>
    ): String {
        val choice = JsonObject(
            mapOf(
                "index" to JsonPrimitive(0),
                "delta" to delta,
                "finish_reason" to (finishReason?.let { JsonPrimitive(it) } ?: JsonNull)
            )
        )
        return JsonObject(
            mapOf(
                "id" to JsonPrimitive(requestId),
                "object" to JsonPrimitive("chat.completion.chunk"),
                "created" to JsonPrimitive(0),
                "model" to JsonPrimitive("stand-in"),
                "offset" to JsonPrimitive(offset),
                "tokens" to JsonPrimitive(tokens),
                "choices" to JsonArray(listOf(choice))
            ) + usage
        ).toString()
    }

    private companion object {
        const val LEAST_TOKENS = 8
        const val MORE_TOKENS = 24
        const val STEP = 7
        const val CHARS_PER_TOKEN = 4
        val WORDS = listOf(
            "sound", "heartwood", "split", "sleeper", "grade", "two", "with", "light", "checks",
            "near", "one", "end", "fit", "for", "garden", "use", "only"
        )
    }
}
