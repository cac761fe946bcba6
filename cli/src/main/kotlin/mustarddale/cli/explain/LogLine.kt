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
 * One line of the log of decisions.
 *
 * @property source the instance that wrote it, as far as it is known.
 * @property fields what decided, without the event's name.
 */
internal data class LogLine(
    val time: Instant,
    val source: String,
    val event: String,
    val fields: Map<String, String>
) {
    /** The request that the line is about, null if it is about none. */
    val request: String? get() = fields["request"]

    /** The backend server that the line is about, null if it is about none. */
    val server: String? get() = fields["backend"] ?: fields["engine"]

    companion object {
        private val timeFormat = DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSSZ")

        /**
         * Returns the decision in [text], null if it is none. Words before the JSON, as collectors
         * of logs write them, end with the instance; without them it is [source].
         */
        fun parse(text: String, source: String): LogLine? {
            val start = text.indexOf('{')
            if (start < 0) return null
            val line = try {
                Json.parseToJsonElement(text.substring(start)) as? JsonObject
            } catch (_: SerializationException) {
                // Other programs' lines may stand between ours.
                null
            }
            val message = line?.get("message") as? JsonObject ?: return null
            val fields = message.mapValues { it.value.text() }
            val event = fields["event"] ?: return null
            val time = timeOf(line["time"].text()) ?: return null
            val prefix = text.substring(0, start).trim().substringAfterLast(' ')
            return LogLine(time, prefix.ifEmpty { source }, event, fields - "event")
        }

        private fun timeOf(text: String): Instant? = try {
            OffsetDateTime.parse(text, timeFormat).toInstant()
        } catch (_: DateTimeParseException) {
            null
        }

        private fun JsonElement?.text(): String =
            (this as? JsonPrimitive)?.contentOrNull ?: this?.toString().orEmpty()
    }
}
