package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.RequestHeaders
import mustarddale.instance.serving.protocol.RequestHead
import mustarddale.key.Sha256
import mustarddale.serving.config.AccountConfig
import mustarddale.serving.config.RouteConfig

/**
 * A request that is admitted by its head; its body has not been read. The properties are those of
 * [AdmittedRequest].
 *
 * @property admittedAtMillis the time of the decision by the monotonic clock.
 */
public class AdmittedHead(
    public val head: RequestHead,
    public val route: RouteConfig,
    public val service: String,
    public val account: AccountConfig?,
    public val tokens: Double,
    public val arrivedAtMillis: Long,
    public val admittedAtMillis: Long,
    public val deadlineAtMillis: Long,
    public val configurationVersion: Long
) {
    /** Returns the request with its [headers] and its [body]. */
    public fun withBody(headers: RequestHeaders, body: RequestBody): AdmittedRequest =
        AdmittedRequest(
            head = head,
            headers = headers,
            body = body,
            route = route,
            service = service,
            account = account,
            tokens = tokens,
            arrivedAtMillis = arrivedAtMillis,
            deadlineAtMillis = deadlineAtMillis,
            configurationVersion = configurationVersion
        )
}

/**
 * A request with its route, service and account, resolved under one version of the configuration.
 *
 * @property account the client account, null if the request has none.
 * @property tokens the tokens that it counts against the rate of [account].
 * @property arrivedAtMillis its arrival by the monotonic clock.
 * @property deadlineAtMillis the earlier of the caller's deadline and the route's timeout, by the
 *   monotonic clock.
 * @property configurationVersion the version of the configuration.
 * @property maxAttempts on how many servers the request may run.
 * @property isRelayed whether another instance has admitted it and sends it through this one.
 * @property serverVersion the software version that began the stream, null if it is not known.
 */
public data class AdmittedRequest(
    public val head: RequestHead,
    public val headers: RequestHeaders,
    public val body: RequestBody,
    public val route: RouteConfig,
    public val service: String,
    public val account: AccountConfig?,
    public val tokens: Double,
    public val arrivedAtMillis: Long,
    public val deadlineAtMillis: Long,
    public val configurationVersion: Long,
    public val maxAttempts: Int = route.maxAttempts,
    public val isRelayed: Boolean = false,
    public val serverVersion: String? = null
) {
    /** The time by which the caller gives up if no response has begun. */
    public val firstByteDeadlineAtMillis: Long
        get() = minOf(
            deadlineAtMillis,
            arrivedAtMillis + (route.callerTimeoutMillis ?: Long.MAX_VALUE / 2)
        )

    /** Identifies the request by its content and its account; the same when it comes again. */
    public val digest: String by lazy {
        val target = listOf(headers.method().name, head.host, RequestTarget.of(headers))
        // A request without a body has its prompt in its head.
        val prompt = head.prompt.takeIf { body.isEmpty }
        val fields = (target + account?.name + prompt).joinToString("\n")
        Sha256.of(fields.toByteArray() + body.data.array()).take(DIGEST_CHARS)
    }

    /** The priority of the request at backend servers. */
    public val priority: Int get() = account?.priority ?: route.priority

    private companion object {
        /** 64 bits, so that two of a day's requests hardly ever have the same digest. */
        const val DIGEST_CHARS = 16
    }
}
