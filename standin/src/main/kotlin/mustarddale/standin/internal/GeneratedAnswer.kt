package mustarddale.standin.internal

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** A generated answer whose words depend on [prompt] only, so that a retry repeats it. */
public class GeneratedAnswer(
    public val requestId: String,
    private val prompt: String,
    maxTokens: Int
) {
    private val seed = prompt.hashCode()

    /** The number of tokens, at most the limit that the request sets. */
    public val tokenCount: Int =
        minOf(maxTokens, MIN_TOKENS + Math.floorMod(seed, TOKEN_COUNT_SPAN))

    /** Returns the JSON frame of the token at [offset], or the last frame if there is none. */
    public fun frame(offset: Int): String = if (offset < tokenCount) token(offset) else lastFrame()

    private fun token(offset: Int): String {
        val word = WORDS[Math.floorMod(seed + offset * WORD_STEP, WORDS.size)]
        val delta = JsonObject(
            mapOf("role" to JsonPrimitive("assistant"), "content" to JsonPrimitive("$word "))
        )
        return frameJson(offset, 1, delta, finishReason = null, usage = emptyMap())
    }

    private fun lastFrame(): String {
        val promptTokens = prompt.length / CHARS_PER_PROMPT_TOKEN + 1
        val usage = JsonObject(
            mapOf(
                "prompt_tokens" to JsonPrimitive(promptTokens),
                "completion_tokens" to JsonPrimitive(tokenCount),
                "total_tokens" to JsonPrimitive(promptTokens + tokenCount)
            )
        )
        return frameJson(tokenCount, 0, JsonObject(emptyMap()), "stop", mapOf("usage" to usage))
    }

    private fun frameJson(
        offset: Int,
        frameTokens: Int,
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
                "tokens" to JsonPrimitive(frameTokens),
                "choices" to JsonArray(listOf(choice))
            ) + usage
        ).toString()
    }

    private companion object {
        const val MIN_TOKENS = 8
        const val TOKEN_COUNT_SPAN = 24
        const val WORD_STEP = 7
        const val CHARS_PER_PROMPT_TOKEN = 4
        val WORDS = listOf(
            "sound", "heartwood", "split", "sleeper", "grade", "two", "with", "light", "checks",
            "near", "one", "end", "fit", "for", "garden", "use", "only"
        )
    }
}
