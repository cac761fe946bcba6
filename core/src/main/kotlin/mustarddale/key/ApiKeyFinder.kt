/*
 * Finds the caller's key wherever clients put it. All places are looked at, so that a key in one of
 * them cannot pass unseen to a backend server when another place holds a second one.
 */
package mustarddale.key

import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure

/** A header, query parameter or cookie of a request. */
public data class HttpField(public val name: String, public val value: String)

/** The places of a request that can hold a key. */
public data class RequestFields(
    public val headers: List<HttpField>,
    public val parameters: List<HttpField>,
    public val cookies: List<HttpField>
)

/** The rules on where a key may stand. */
public object ApiKeyFinder {
    private const val BEARER = "bearer "
    private val headerNames = setOf("x-api-key", "api-key")
    private val parameterNames = setOf("api_key", "api-key", "apikey", "key", "access_token")
    private val cookieNames = setOf("api_key", "api-key", "apikey", "access_token")

    /** Returns the one key in [places], null if there is none. */
    public fun find(places: RequestFields): Outcome<String?> {
        val found = findAll(places)
        if (found.size > 1) {
            return failure(
                ErrorKind.KEY_AMBIGUOUS,
                "the request carries more than one key",
                "Authorization"
            )
        }
        return Outcome.Success(found.firstOrNull())
    }

    /** Returns all different keys in [places]. */
    public fun findAll(places: RequestFields): Set<String> {
        val bearer = places.headers.named(setOf("authorization")).map(::withoutScheme)
        val others = places.headers.named(headerNames) +
            places.parameters.named(parameterNames) +
            places.cookies.named(cookieNames)
        return (bearer + others).filter { it.isNotBlank() }.toSet()
    }

    /** Whether [name] is that of a parameter that can hold a key. */
    public fun isKeyParameter(name: String): Boolean = name.lowercase() in parameterNames

    private fun List<HttpField>.named(names: Set<String>): List<String> =
        filter { it.name.lowercase() in names }.map { it.value.trim() }

    private fun withoutScheme(value: String): String =
        if (value.lowercase().startsWith(BEARER)) value.drop(BEARER.length).trim() else value
}
