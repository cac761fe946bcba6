package mustarddale.cli.explain

import java.time.ZoneOffset
import java.time.format.DateTimeFormatter
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Formats timelines as text and as JSON. */
internal object TimelineFormat {
    private val timeFormat = DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC)

    /** Returns one line of text for each entry; `>` marks the lines that match the query. */
    fun toText(rows: List<TimelineEntry>): String = rows.joinToString("\n") { (line, isMatch) ->
        val marker = if (isMatch) ">" else " "
        val fields = line.fields.filterKeys { it != "request" }.entries
            .joinToString(" ") { (name, value) -> "$name=$value" }
        "$marker ${timeFormat.format(line.time)} ${line.instance} ${line.event} $fields".trimEnd()
    }

    /** Returns the timeline as a JSON array. */
    fun toJson(rows: List<TimelineEntry>): String {
        val elements = rows.map { (line, isMatch) ->
            val fields: Map<String, JsonElement> = line.fields.mapValues { JsonPrimitive(it.value) }
            JsonObject(
                mapOf(
                    "time" to JsonPrimitive(line.time.toString()),
                    "instance" to JsonPrimitive(line.instance),
                    "event" to JsonPrimitive(line.event),
                    "isOwn" to JsonPrimitive(isMatch),
                    "fields" to JsonObject(fields)
                )
            )
        }
        return Json.encodeToString(JsonArray.serializer(), JsonArray(elements))
    }
}
