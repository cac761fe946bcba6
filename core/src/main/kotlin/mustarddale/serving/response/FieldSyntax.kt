package mustarddale.serving.response

/** The grammar of one line of a head or of trailers, a field, in RFC 9110 and 9112. */
public object FieldSyntax {
    /** A character of a value, a reason or an extension of a chunk, as a regular expression. */
    internal const val TEXT = "[\t\\x20-\\x7e\\x80-\\xff]"

    private const val TOKEN_MARKS = "!#$%&'*+-.^_`|~"

    /** Returns what is wrong with [line], whose characters are its bytes, null if nothing. */
    public fun faultOf(line: String): String? {
        val colon = line.indexOf(':')
        return when {
            line.isNotEmpty() && isBlank(line.first()) -> "a line of the head is folded"
            colon < 0 -> "a line of the head has no colon"
            colon == 0 || !isToken(line, colon) -> "the name of a field is malformed"
            !isText(line, colon + 1) -> "the value of a field has a control character"
            else -> null
        }
    }

    private fun isToken(line: String, end: Int): Boolean = (0 until end).all {
        isTokenMark(line[it])
    }

    private fun isTokenMark(char: Char): Boolean =
        char in 'a'..'z' || char in 'A'..'Z' || char in '0'..'9' || char in TOKEN_MARKS

    private fun isText(line: String, start: Int): Boolean = (start until line.length).all {
        val char = line[it]
        char == '\t' || char in ' '..'~' || char.code > DELETE
    }

    private fun isBlank(char: Char): Boolean = char == ' ' || char == '\t'

    private const val DELETE = 0x7f
}
