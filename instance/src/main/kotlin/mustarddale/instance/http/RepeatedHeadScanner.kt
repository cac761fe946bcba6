/*
 * Finds where a response without a length ends if the server has written a copy of it behind it.
 * The connection ends with both, so only the copy's head separates them. A body that contains the
 * head of its own response, with its id, cannot be told from a response and its copy; neither can
 * the first letters of a copy's head be told from the end of a body if the connection ends there.
 */
package mustarddale.instance.http

/**
 * Scans one body for the head of a copy: the line [statusLine] and, among the headers that follow
 * it, [idName] with the value [idValue].
 */
internal class RepeatedHeadScanner(
    private val statusLine: String,
    private val idName: String,
    private val idValue: String
) {
    private var heldBytes = ByteArray(0)

    /** Whether the copy has begun, so that no further bytes belong to the body. */
    var hasFoundCopy: Boolean = false
        private set

    /**
     * Scans the next [bytes]; returns those that belong to the body, without the last ones if they
     * may be the beginning of a copy.
     */
    fun scan(bytes: ByteArray): ByteArray {
        if (hasFoundCopy) return ByteArray(0)
        val unscanned = if (heldBytes.isEmpty()) bytes else heldBytes + bytes
        var start = unscanned.indexOfFirst(0)
        while (start < unscanned.size) {
            val match = matchAt(unscanned, start)
            if (match != Match.NONE) {
                hasFoundCopy = match == Match.COPY
                heldBytes = unscanned.copyOfRange(start, unscanned.size)
                return unscanned.copyOf(start)
            }
            start = unscanned.indexOfFirst(start + 1)
        }
        heldBytes = ByteArray(0)
        return unscanned
    }

    /**
     * Returns the last bytes of a body that has ended; null if it cannot be told where it ends,
     * because the connection has ended within what may be the head of a copy.
     */
    fun finish(): ByteArray? = when {
        hasFoundCopy -> ByteArray(0)
        heldBytes.size >= MIN_COPY_BYTES -> null
        else -> heldBytes
    }

    private enum class Match { NONE, POSSIBLE, COPY }

    private fun matchAt(text: ByteArray, start: Int): Match {
        var lineStart = start
        while (text.size > lineStart && lineStart - start < MAX_HEAD_BYTES) {
            val lineEnd = text.indexOfLineFeed(lineStart)
            val line = String(text, lineStart, lineEnd - lineStart, Charsets.ISO_8859_1)
            val isWhole = lineEnd < text.size
            when {
                lineStart == start -> if (!isStatusLine(line, isWhole)) return Match.NONE
                !isWhole -> Unit
                ':' !in line -> return Match.NONE
                line.substringBefore(':').equals(idName, ignoreCase = true) ->
                    return if (line.substringAfter(':').trim() ==
                        idValue
                    ) {
                        Match.COPY
                    } else {
                        Match.NONE
                    }
            }
            lineStart = lineEnd + 1
        }
        return if (text.size - start < MAX_HEAD_BYTES) Match.POSSIBLE else Match.NONE
    }

    private fun isStatusLine(line: String, isWhole: Boolean): Boolean = if (isWhole) {
        line.trimEnd() == statusLine
    } else {
        statusLine.startsWith(line) || line.trimEnd() == statusLine
    }

    /** The index of the next byte with which a status line begins, from [from] on. */
    private fun ByteArray.indexOfFirst(from: Int): Int = indexOf(FIRST_BYTE, from)

    private fun ByteArray.indexOfLineFeed(from: Int): Int = indexOf(LINE_FEED, from)

    /** Returns the size if there is no [byte]. */
    private fun ByteArray.indexOf(byte: Byte, from: Int): Int {
        var index = from
        while (index < size && this[index] != byte) index++
        return index
    }

    private companion object {
        const val FIRST_BYTE = 'H'.code.toByte()
        const val LINE_FEED = '\n'.code.toByte()

        /** The length of "HTTP/1.1 ", which few bodies end with. */
        const val MIN_COPY_BYTES = 9

        /** The longest head that the HTTP library accepts. */
        const val MAX_HEAD_BYTES = 8 * 1_024
    }
}
