/*
 * Parses server-sent events (WHATWG HTML, section 9.2) as far as engines use them: data lines,
 * comment lines as keep-alives, and an empty line after each event.
 */
package mustarddale.instance.engine

import java.io.ByteArrayOutputStream

/** Parses a byte stream incrementally, and buffers an incomplete line. */
public class ServerSentEventParser {
    private val partialLine = ByteArrayOutputStream()

    /** Parses [bytes]; returns the data of each event, and an empty string for each comment. */
    public fun parse(bytes: ByteArray): List<String> = buildList {
        for (byte in bytes) {
            if (byte == LINE_FEED) {
                dataOf(partialLine.toString(Charsets.UTF_8).trimEnd('\r'))?.let(::add)
                partialLine.reset()
            } else {
                partialLine.write(byte.toInt())
            }
        }
    }

    private fun dataOf(line: String): String? = when {
        line.startsWith(DATA_PREFIX) -> line.removePrefix(DATA_PREFIX).trimStart()
        line.startsWith(":") -> ""
        else -> null
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val DATA_PREFIX = "data:"
    }
}
