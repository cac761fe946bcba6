package mustarddale.instance.caller

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.Cookie
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.future.await
import mustarddale.config.ClientAccount
import mustarddale.config.ConfigurationIndex
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure
import mustarddale.key.CallerKey
import mustarddale.key.Field
import mustarddale.key.KeyDigest
import mustarddale.key.KeyPlaces
import mustarddale.key.Outbound

/** A client account with the digest of the key that named it. */
public data class Caller(public val account: ClientAccount, public val keySha256: String)

/** A whole request of a caller with the keys that it carries. */
public class CallerRequest private constructor(
    public val context: ServiceRequestContext,
    public val http: AggregatedHttpRequest
) {
    /** The headers, without the pseudo headers of HTTP/2. */
    public val headers: List<Field> = http.headers()
        .filter { !it.key.startsWith(":") }
        .map { Field(it.key.toString(), it.value) }

    /** The query parameters, decoded. */
    public val parameters: List<Field> =
        context.queryParams().map { Field(it.key, it.value) }

    private val places = KeyPlaces(
        headers = headers,
        parameters = parameters,
        cookies = http.headers().getAll(HttpHeaderNames.COOKIE)
            .flatMap { Cookie.fromCookieHeader(it) }
            .map { Field(it.name(), it.value()) }
    )

    /** All keys in the request. */
    public val keys: Set<String> = CallerKey.all(places)

    /** Returns the account whose key came with the request. */
    public fun caller(index: ConfigurationIndex): Outcome<Caller> {
        val key = when (val found = CallerKey.find(places)) {
            is Outcome.Failure -> return found

            is Outcome.Success -> found.value ?: return failure(
                ErrorKind.KEY_MISSING,
                "send your key as \"Authorization: Bearer KEY\"",
                "Authorization"
            )
        }
        val digest = KeyDigest.of(key)
        val account = index.accountOfDigest(digest)
            ?: return failure(ErrorKind.KEY_UNKNOWN, "this key is not valid", "Authorization")
        return Outcome.Success(Caller(account, digest))
    }

    /** Returns the body, unless it holds a key of the request. */
    public fun bodyWithoutKeys(): Outcome<String> {
        val text = http.contentUtf8()
        if (Outbound.isFree(text, keys)) return Outcome.Success(text)
        return failure(ErrorKind.KEY_IN_BODY, "the body holds the key; leave it out", "body")
    }

    public companion object {
        /** Reads the whole request of [context]. */
        public suspend fun read(context: ServiceRequestContext): CallerRequest =
            CallerRequest(context, context.request().aggregate().await())
    }
}
