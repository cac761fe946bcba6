/*
 * Checks HTTP/1 responses against the grammar of RFC 9112 and follows their framing, which tells
 * where the next head begins. HTTP libraries repair malformed heads: they cut names at blanks, join
 * folded lines and take any number for a status, so that a decoded head shows no fault.
 */
package mustarddale.serving.response

/** What a response on a connection consists of next. */
public sealed interface ResponsePart {
    /** A line of a head, of the framing of chunks or of trailers. */
    public data object Line : ResponsePart

    /** The next [count] bytes of a body, at least one. */
    public data class Bytes(public val count: Long) : ResponsePart

    /** All bytes up to the end of the connection. */
    public data object Rest : ResponsePart
}

/** How the body of a response ends, which its head and the request decide. */
public sealed interface BodyEnd {
    /** Behind [bytes] bytes, 0 for a response without a body. */
    public data class Length(public val bytes: Long) : BodyEnd

    /** With the last chunk and its trailers. */
    public data object LastChunk : BodyEnd

    /** With the connection. */
    public data object Connection : BodyEnd
}

/** The responses on one connection, one after another. */
public class ResponseSyntax {
    private enum class State { STATUS, FIELDS, HEAD_END, SIZE, CHUNK, CHUNK_END, TRAILERS, BODY }

    private var state = State.STATUS
    private val codings = ArrayList<String>()

    /** What comes next; a head that has ended is followed by [beginBody]. */
    public var next: ResponsePart = ResponsePart.Line
        private set

    /** Whether a head has ended whose body has not begun. */
    public val isHeadEnd: Boolean get() = state == State.HEAD_END

    /** Whether a response has ended and the next has not begun. */
    public val isBetweenResponses: Boolean get() = state == State.STATUS

    /** Takes the next [line], without its end; returns what is wrong with it, null if nothing. */
    public fun acceptLine(line: String): String? = when (state) {
        State.STATUS -> acceptStatusLine(line)
        State.FIELDS -> if (line.isEmpty()) endHead() else acceptField(line)
        State.SIZE -> acceptChunkSize(line)
        State.CHUNK_END -> acceptChunkEnd(line)
        State.TRAILERS -> if (line.isEmpty()) endResponse() else FieldSyntax.faultOf(line)
        State.HEAD_END, State.CHUNK, State.BODY -> error("no line is due")
    }

    /** Takes the next [count] bytes of a body, no more than are due. */
    public fun acceptBytes(count: Long) {
        val due = next as? ResponsePart.Bytes ?: return
        when {
            count < due.count -> next = ResponsePart.Bytes(due.count - count)

            state == State.CHUNK -> expectLine(State.CHUNK_END)

            else -> endResponse()
        }
    }

    /** Begins the body behind a head that has ended. */
    public fun beginBody(end: BodyEnd) {
        check(isHeadEnd) { "no head has ended" }
        when (end) {
            is BodyEnd.Length -> if (end.bytes == 0L) endResponse() else expectBody(end.bytes)

            BodyEnd.LastChunk -> expectLine(State.SIZE)

            BodyEnd.Connection -> {
                state = State.BODY
                next = ResponsePart.Rest
            }
        }
    }

    private fun acceptStatusLine(line: String): String? {
        // Some servers end a body with an empty line that its length does not count.
        if (line.isEmpty()) return null
        state = State.FIELDS
        return if (STATUS_LINE.matches(line)) null else "the status line is malformed"
    }

    private fun acceptField(line: String): String? {
        if (line.substringBefore(':').equals("transfer-encoding", ignoreCase = true)) {
            codings += line.substringAfter(':').split(',').map { it.trim(' ', '\t') }
        }
        return FieldSyntax.faultOf(line)
    }

    private fun endHead(): String? {
        state = State.HEAD_END
        val named = codings.filter { it.isNotEmpty() }
        val isUnderstood = codings.isEmpty() || named.singleOrNull().equals("chunked", true)
        codings.clear()
        return if (isUnderstood) null else "the transfer coding is not supported"
    }

    private fun acceptChunkSize(line: String): String? {
        val digits = CHUNK_SIZE.matchEntire(line)?.groupValues?.get(1)
            ?: return "the size of a chunk is malformed"
        val size = digits.toLong(HEX)
        if (size == 0L) expectLine(State.TRAILERS) else expectBytes(State.CHUNK, size)
        return null
    }

    private fun acceptChunkEnd(line: String): String? {
        expectLine(State.SIZE)
        return if (line.isEmpty()) null else "a chunk is longer than its size"
    }

    private fun endResponse(): String? {
        expectLine(State.STATUS)
        return null
    }

    private fun expectBody(bytes: Long) = expectBytes(State.BODY, bytes)

    private fun expectBytes(state: State, count: Long) {
        this.state = state
        next = ResponsePart.Bytes(count)
    }

    private fun expectLine(state: State) {
        this.state = state
        next = ResponsePart.Line
    }

    private companion object {
        const val HEX = 16
        val STATUS_LINE = Regex("HTTP/1\\.[0-9][ \t]+[1-5][0-9]{2}([ \t]${FieldSyntax.TEXT}*)?")
        val CHUNK_SIZE = Regex("([0-9a-fA-F]{1,15})[ \t]*(;${FieldSyntax.TEXT}*)?")
    }
}
