/*
 * What of a caller's request may go on to a backend server: only headers on a short list, and
 * nothing that holds a key of the request.
 */
package mustarddale.key

/** The filter between a caller and a backend server. */
public object OutboundFilter {
    private val requestHeaders = setOf(
        "accept",
        "accept-language",
        "content-type",
        "idempotency-key",
        "if-match",
        "if-none-match",
        "traceparent"
    )
    private val responseHeaders = setOf(
        "cache-control",
        "content-language",
        "content-type",
        "etag",
        "last-modified",
        "location",
        "retry-after"
    )

    /** The [headers] that may go on, given the [keys] of the request. */
    public fun requestHeaders(headers: List<HttpField>, keys: Set<String>): List<HttpField> =
        headers.filter { it.name.lowercase() in requestHeaders && containsNoKey(it.value, keys) }

    /** The query [parameters] that may go on, given the [keys] of the request. */
    public fun parameters(parameters: List<HttpField>, keys: Set<String>): List<HttpField> =
        parameters.filter { !ApiKeyFinder.isKeyParameter(it.name) && containsNoKey(it.value, keys) }

    /** The [headers] of an answer that may go to the caller. */
    public fun responseHeaders(headers: List<HttpField>): List<HttpField> =
        headers.filter { it.name.lowercase() in responseHeaders }

    /** Whether [text] holds none of [keys]. */
    public fun containsNoKey(text: String, keys: Set<String>): Boolean = keys.none { it in text }
}
