/*
 * Finds the caller's API key in the headers, query parameters and cookies of a request. All of them
 * are searched, so that a second key cannot reach a backend server unnoticed.
 */
package mustarddale.key

import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure

/** A header, query parameter or cookie of an HTTP message. */
public data class HttpField(public val name: String, public val value: String)

/** The fields of a request that can contain an API key. */
public data class RequestFields(
    public val headers: List<HttpField>,
    public val parameters: List<HttpField>,
    public val cookies: List<HttpField>
)

/** Extracts API keys from [RequestFields]. */
public object ApiKeyFinder {
    private const val BEARER = "bearer "
    private val headerNames = setOf("x-api-key", "api-key")
    private val parameterNames = setOf("api_key", "api-key", "apikey", "key", "access_token")
    private val cookieNames = setOf("api_key", "api-key", "apikey", "access_token")

    /** Returns the only key in [fields], null if there is none; fails if there are several. */
    public fun find(fields: RequestFields): Outcome<String?> {
        val keys = findAll(fields)
        if (keys.size > 1) {
            return failure(
                ErrorKind.KEY_AMBIGUOUS,
                "the request contains more than one API key",
                "Authorization"
            )
        }
        return Outcome.Success(keys.firstOrNull())
    }

    /** Returns all distinct keys in [fields]. */
    public fun findAll(fields: RequestFields): Set<String> {
        val bearerTokens = fields.headers.valuesOf(setOf("authorization")).map(::removeBearerScheme)
        val otherKeys = fields.headers.valuesOf(headerNames) +
            fields.parameters.valuesOf(parameterNames) +
            fields.cookies.valuesOf(cookieNames)
        return (bearerTokens + otherKeys).filter { it.isNotBlank() }.toSet()
    }

    /** Whether the query parameter [name] can contain an API key. */
    public fun isKeyParameter(name: String): Boolean = name.lowercase() in parameterNames

    private fun List<HttpField>.valuesOf(names: Set<String>): List<String> =
        filter { it.name.lowercase() in names }.map { it.value.trim() }

    private fun removeBearerScheme(value: String): String =
        if (value.lowercase().startsWith(BEARER)) value.drop(BEARER.length).trim() else value
}
