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
import mustarddale.key.ApiKeyFinder
import mustarddale.key.HttpField
import mustarddale.key.OutboundFilter
import mustarddale.key.RequestFields
import mustarddale.key.Sha256

/** A client account with the digest of the key that named it. */
public data class Caller(public val account: ClientAccount, public val keySha256: String)

/** A whole request of a caller with the keys that it carries. */
public class CallerRequest private constructor(
    public val context: ServiceRequestContext,
    public val http: AggregatedHttpRequest
) {
    /** The headers, without the pseudo headers of HTTP/2. */
    public val headers: List<HttpField> = http.headers()
        .filter { !it.key.startsWith(":") }
        .map { HttpField(it.key.toString(), it.value) }

    /** The query parameters, decoded. */
    public val parameters: List<HttpField> =
        context.queryParams().map { HttpField(it.key, it.value) }

    private val places = RequestFields(
        headers = headers,
        parameters = parameters,
        cookies = http.headers().getAll(HttpHeaderNames.COOKIE)
            .flatMap { Cookie.fromCookieHeader(it) }
            .map { HttpField(it.name(), it.value()) }
    )

    /** All keys in the request. */
    public val keys: Set<String> = ApiKeyFinder.findAll(places)

    /** Returns the account whose key came with the request. */
    public fun caller(index: ConfigurationIndex): Outcome<Caller> {
        val key = when (val found = ApiKeyFinder.find(places)) {
            is Outcome.Failure -> return found

            is Outcome.Success -> found.value ?: return failure(
                ErrorKind.KEY_MISSING,
                "send your key as \"Authorization: Bearer KEY\"",
                "Authorization"
            )
        }
        val digest = Sha256.of(key)
        val account = index.accountByKeyDigest(digest)
            ?: return failure(ErrorKind.KEY_UNKNOWN, "this key is not valid", "Authorization")
        return Outcome.Success(Caller(account, digest))
    }

    /** Returns the body, unless it holds a key of the request. */
    public fun bodyWithoutKeys(): Outcome<String> {
        val text = http.contentUtf8()
        if (OutboundFilter.containsNoKey(text, keys)) return Outcome.Success(text)
        return failure(ErrorKind.KEY_IN_BODY, "the body holds the key; leave it out", "body")
    }

    public companion object {
        /** Reads the whole request of [context]. */
        public suspend fun read(context: ServiceRequestContext): CallerRequest =
            CallerRequest(context, context.request().aggregate().await())
    }
}
