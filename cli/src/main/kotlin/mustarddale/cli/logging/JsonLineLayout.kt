package mustarddale.cli.logging

import java.nio.charset.StandardCharsets
import java.time.Instant
import java.time.LocalDateTime
import java.time.ZoneOffset
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.layout.AbstractStringLayout
import org.apache.logging.log4j.message.MapMessage

/** Formats each event as one line of JSON, with the time in UTC. */
internal class JsonLineLayout : AbstractStringLayout(StandardCharsets.UTF_8) {
    override fun getContentType(): String = "application/json"

    override fun toSerializable(event: LogEvent): String = toJson(event).toString() + "\n"

    private fun toJson(event: LogEvent): JsonObject = buildJsonObject {
        put("time", formatTime(event.timeMillis))
        put("level", event.level.name())
        put("logger", event.loggerName)
        put("thread", event.threadName)
        putJsonObject("message") { putMessage(event) }
        event.thrown?.let { put("error", it.stackTraceToString()) }
    }

    private fun JsonObjectBuilder.putMessage(event: LogEvent) {
        val message = event.message
        if (message is MapMessage<*, *>) {
            message.data.forEach { (name, value) -> put(name, value.toString()) }
        } else {
            put("text", message.formattedMessage)
        }
    }

    /** Formats without [java.time.format.DateTimeFormatter], which is slow to initialize. */
    private fun formatTime(epochMillis: Long): String {
        val time = LocalDateTime.ofInstant(Instant.ofEpochMilli(epochMillis), ZoneOffset.UTC)
        val millis = time.nano / NANOS_PER_MILLI
        return buildString(TIME_LENGTH) {
            append(time.toLocalDate()).append('T')
            appendPadded(time.hour, 2).append(':')
            appendPadded(time.minute, 2).append(':')
            appendPadded(time.second, 2).append('.')
            appendPadded(millis, MILLI_DIGITS).append("+0000")
        }
    }

    private fun StringBuilder.appendPadded(value: Int, digits: Int): StringBuilder =
        append(value.toString().padStart(digits, '0'))

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000
        const val MILLI_DIGITS = 3
        const val TIME_LENGTH = 28
    }
}
