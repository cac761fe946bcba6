/*
 * Restricts what is forwarded between callers and backend servers: only allowlisted headers, and
 * nothing from a request that contains one of its API keys.
 */
package mustarddale.key

/** Filters headers and query parameters between callers and backend servers. */
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

    /** Returns the [headers] to forward for a request with the API [keys]. */
    public fun requestHeaders(headers: List<HttpField>, keys: Set<String>): List<HttpField> =
        headers.filter { it.name.lowercase() in requestHeaders && containsNoKey(it.value, keys) }

    /** Returns the query [parameters] to forward for a request with the API [keys]. */
    public fun parameters(parameters: List<HttpField>, keys: Set<String>): List<HttpField> =
        parameters.filter { !ApiKeyFinder.isKeyParameter(it.name) && containsNoKey(it.value, keys) }

    /** Returns the response [headers] to forward to the caller. */
    public fun responseHeaders(headers: List<HttpField>): List<HttpField> =
        headers.filter { it.name.lowercase() in responseHeaders }

    /** Whether [text] contains none of [keys]. */
    public fun containsNoKey(text: String, keys: Set<String>): Boolean = keys.none { it in text }
}
