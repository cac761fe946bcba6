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

/** A client account and the SHA-256 digest of the API key that authenticated it. */
public data class AuthenticatedCaller(
    public val account: ClientAccount,
    public val keySha256: String
)

/** A request of a caller, received completely, and the API keys in it. */
public class CallerRequest private constructor(
    public val context: ServiceRequestContext,
    public val http: AggregatedHttpRequest
) {
    /** The headers, without the pseudo headers of HTTP/2. */
    public val headers: List<HttpField> = http.headers()
        .filter { !it.key.startsWith(":") }
        .map { HttpField(it.key.toString(), it.value) }

    /** The decoded query parameters. */
    public val parameters: List<HttpField> =
        context.queryParams().map { HttpField(it.key, it.value) }

    private val requestFields = RequestFields(
        headers = headers,
        parameters = parameters,
        cookies = http.headers().getAll(HttpHeaderNames.COOKIE)
            .flatMap { Cookie.fromCookieHeader(it) }
            .map { HttpField(it.name(), it.value()) }
    )

    /** All distinct API keys in headers, query parameters and cookies. */
    public val keys: Set<String> = ApiKeyFinder.findAll(requestFields)

    /** Returns the client account in [index] that the API key of the request belongs to. */
    public fun authenticate(index: ConfigurationIndex): Outcome<AuthenticatedCaller> {
        val key = when (val found = ApiKeyFinder.find(requestFields)) {
            is Outcome.Failure -> return found

            is Outcome.Success -> found.value ?: return failure(
                ErrorKind.KEY_MISSING,
                "an API key is required; send it as \"Authorization: Bearer KEY\"",
                "Authorization"
            )
        }
        val digest = Sha256.of(key)
        val account = index.accountByKeyDigest(digest)
            ?: return failure(ErrorKind.KEY_UNKNOWN, "the API key is not valid", "Authorization")
        return Outcome.Success(AuthenticatedCaller(account, digest))
    }

    /** Returns the body, or a refusal if it contains an API key of the request. */
    public fun keyFreeBody(): Outcome<String> {
        val text = http.contentUtf8()
        if (OutboundFilter.containsNoKey(text, keys)) return Outcome.Success(text)
        return failure(ErrorKind.KEY_IN_BODY, "body: must not contain the API key", "body")
    }

    public companion object {
        /** Receives the request of [context] completely. */
        public suspend fun read(context: ServiceRequestContext): CallerRequest =
            CallerRequest(context, context.request().aggregate().await())
    }
}
