/*
 * Judges how a request over HTTP/1 frames its body (RFC 9112, section 6). If the framing is not
 * understood, or a field that tells it is declared as meant for one hop, two readers may find
 * different ends of the body, and what one of them takes for body runs as a request at the other.
 */
package mustarddale.serving.connection

/** The framing of one request by the values of its fields. */
public object RequestFraming {
    private val framingFields = setOf("content-length", "transfer-encoding")

    /**
     * Returns why a request is refused, null if its framing is understood.
     *
     * @param transferEncodings the values of its Transfer-Encoding fields.
     * @param connectionOptions the values of its Connection fields.
     */
    public fun faultOf(
        transferEncodings: List<String>,
        connectionOptions: List<String>
    ): CloseReason? = when {
        transferEncodings.isNotEmpty() && elementsOf(transferEncodings) != listOf("chunked") ->
            CloseReason.CODING_UNKNOWN

        elementsOf(connectionOptions).any { it in framingFields } -> CloseReason.FRAMING_HOP_BY_HOP

        else -> null
    }

    private fun elementsOf(values: List<String>): List<String> =
        values.flatMap { it.split(',') }.map { it.trim().lowercase() }
}
