package mustarddale.cli.explain

import java.time.Instant
import java.time.OffsetDateTime
import java.time.format.DateTimeFormatter
import java.time.format.DateTimeParseException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

/**
 * One line of a decision log.
 *
 * @property instance ID of the instance that wrote it, or the log file's name if unknown.
 * @property fields the inputs and the result of the decision, without the event's name.
 */
internal data class LogLine(
    val time: Instant,
    val instance: String,
    val event: String,
    val fields: Map<String, String>
) {
    /** ID of the request that the line concerns, or null. */
    val request: String? get() = fields["request"]

    /** ID of the backend server that the line concerns, or null. */
    val server: String? get() = fields["backend"] ?: fields["engine"]

    companion object {
        private val timeFormat = DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSSZ")

        /**
         * Returns the decision in [text], or null if it holds none. The last word before the JSON,
         * as log collectors add it, is the instance ID; without a prefix it is [defaultInstance].
         */
        fun parse(text: String, defaultInstance: String): LogLine? {
            val start = text.indexOf('{')
            if (start < 0) return null
            val line = try {
                Json.parseToJsonElement(text.substring(start)) as? JsonObject
            } catch (_: SerializationException) {
                // Lines of other programs can be mixed in.
                null
            }
            val message = line?.get("message") as? JsonObject ?: return null
            val fields = message.mapValues { it.value.asText() }
            val event = fields["event"] ?: return null
            val time = parseTime(line["time"].asText()) ?: return null
            val prefix = text.substring(0, start).trim().substringAfterLast(' ')
            return LogLine(time, prefix.ifEmpty { defaultInstance }, event, fields - "event")
        }

        private fun parseTime(text: String): Instant? = try {
            OffsetDateTime.parse(text, timeFormat).toInstant()
        } catch (_: DateTimeParseException) {
            null
        }

        private fun JsonElement?.asText(): String =
            (this as? JsonPrimitive)?.contentOrNull ?: this?.toString().orEmpty()
    }
}
