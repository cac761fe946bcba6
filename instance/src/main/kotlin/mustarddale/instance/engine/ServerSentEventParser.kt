/*
 * Cuts a byte stream into server-sent events (WHATWG HTML, section 9.2), as far as engines use
 * them: data lines, comment lines as signs of life, and an empty line behind each event.
 */
package mustarddale.instance.engine

import java.io.ByteArrayOutputStream

/** Collects bytes until whole lines are there. */
public class ServerSentEventParser {
    private val pending = ByteArrayOutputStream()

    /** Takes in [bytes]; returns the data of the events and, for each comment, an empty text. */
    public fun add(bytes: ByteArray): List<String> = buildList {
        for (byte in bytes) {
            if (byte == LINE_FEED) {
                dataOf(pending.toString(Charsets.UTF_8).trimEnd('\r'))?.let(::add)
                pending.reset()
            } else {
                pending.write(byte.toInt())
            }
        }
    }

    private fun dataOf(line: String): String? = when {
        line.startsWith(DATA) -> line.removePrefix(DATA).trimStart()
        line.startsWith(":") -> ""
        else -> null
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val DATA = "data:"
    }
}
