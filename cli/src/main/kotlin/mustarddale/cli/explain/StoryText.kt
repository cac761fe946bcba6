package mustarddale.cli.explain

import java.time.ZoneOffset
import java.time.format.DateTimeFormatter
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Renders stories. */
internal object StoryText {
    private val clock = DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC)

    /** Returns [story] with one line for each decision; those about the subject begin with `>`. */
    fun plain(story: List<StoryLine>): String = story.joinToString("\n") { (line, isOwn) ->
        val mark = if (isOwn) ">" else " "
        val fields = line.fields.filterKeys { it != "request" }.entries
            .joinToString(" ") { (name, value) -> "$name=$value" }
        "$mark ${clock.format(line.time)} ${line.source} ${line.event} $fields".trimEnd()
    }

    /** Returns [story] as a JSON array. */
    fun json(story: List<StoryLine>): String {
        val elements = story.map { (line, isOwn) ->
            val fields: Map<String, JsonElement> = line.fields.mapValues { JsonPrimitive(it.value) }
            JsonObject(
                mapOf(
                    "time" to JsonPrimitive(line.time.toString()),
                    "instance" to JsonPrimitive(line.source),
                    "event" to JsonPrimitive(line.event),
                    "isOwn" to JsonPrimitive(isOwn),
                    "fields" to JsonObject(fields)
                )
            )
        }
        return Json.encodeToString(JsonArray.serializer(), JsonArray(elements))
    }
}
