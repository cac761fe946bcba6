/*
 * Decides whether a request is admitted: the instance needs a configuration, the path a route, the
 * API key a client account, and the account enough tokens.
 */
package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.RequestHeaders
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure
import mustarddale.instance.serving.protocol.RequestHead
import mustarddale.instance.serving.relay.RelayEnvelope
import mustarddale.instance.serving.relay.RelayService
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.config.AccountConfig
import mustarddale.serving.config.RouteConfig
import mustarddale.serving.config.ServingConfiguration
import mustarddale.text.DecimalText

/** Admits requests by the configuration and the quota in [state]. */
public class Admission(private val state: ServingState) {
    /**
     * Judges a request by its [head], before its body is read, and takes its tokens at [nowMillis].
     *
     * @param areTokensTaken whether its tokens were already taken from the leader's pool.
     * @param checksLateness whether it may be refused because the event loop is late, as a request
     *   may for which nothing has been done.
     */
    public fun admit(
        head: RequestHead,
        arrivedAtMillis: Long,
        nowMillis: Long,
        areTokensTaken: Boolean = false,
        checksLateness: Boolean = false
    ): Outcome<AdmittedHead> {
        val configuration = state.configuration
            ?: return failure(
                ErrorKind.NOT_READY,
                "the instance has no configuration yet",
                retryAfterMillis = NOT_READY_RETRY_MILLIS +
                    Math.floorMod(head.requestId.hashCode(), NOT_READY_JITTER_MILLIS)
            )
        val route = state.routes.find(head.host, head.path)
            ?: return failure(ErrorKind.ROUTE_UNKNOWN, "no route matches ${head.host}${head.path}")
        val account = head.apiKey?.let { configuration.accountOf(it) }
        val refused = accountFailure(head, account, route, configuration)
            ?: if (checksLateness) {
                lateFailure(head, account, route, arrivedAtMillis, nowMillis)
            } else {
                null
            }
        if (refused != null) return refused
        val tokens = tokenCostOf(head, account)
        if (account != null && !areTokensTaken &&
            !state.quota.tryTake(account, tokens, nowMillis)
        ) {
            return rateExceeded(account, tokens, nowMillis)
        }
        return Outcome.Success(
            admittedHead(head, route, account, tokens, arrivedAtMillis, nowMillis, configuration)
        )
    }

    /** Whether the decision on [admitted] still holds at [nowMillis], when its body is complete. */
    public fun isCurrent(admitted: AdmittedHead, nowMillis: Long): Boolean =
        state.configuration?.version == admitted.configurationVersion &&
            nowMillis - admitted.admittedAtMillis <= MAX_ADMISSION_AGE_MILLIS

    /** Returns the tokens of a request that was not forwarded. */
    public fun refund(admitted: AdmittedHead) {
        admitted.account?.let { state.quota.refund(it, admitted.tokens) }
    }

    /**
     * Admits a request that another instance has admitted as [envelope] says. It is refused if this
     * instance can't forward it, or knows only an older configuration.
     */
    internal fun admitRelayed(
        head: RequestHead,
        headers: RequestHeaders,
        body: RequestBody,
        arrivedAtMillis: Long,
        envelope: RelayEnvelope
    ): Outcome<AdmittedRequest> {
        val configuration = state.configuration
        if (configuration == null || configuration.version < envelope.configurationVersion) {
            return RelayService.elsewhere("the configuration is older")
        }
        val route = state.routes.find(head.host, head.path)
        val account = envelope.account?.let { configuration.accounts[it] }
        if (route == null || (account == null && envelope.account != null)) {
            return RelayService.elsewhere("a newer configuration has no such route or account")
        }
        val admitted =
            admittedHead(head, route, account, 0.0, arrivedAtMillis, arrivedAtMillis, configuration)
                .withBody(headers, body)
        if (state.paths.isCutOff(admitted.service)) {
            return RelayService.elsewhere("${admitted.service} is cut off here too")
        }
        return Outcome.Success(
            admitted.copy(
                maxAttempts = envelope.maxAttempts,
                isRelayed = true,
                serverVersion = envelope.serverVersion
            )
        )
    }

    /** Returns why a request of [account] is not admitted on [route], null if it is. */
    private fun accountFailure(
        head: RequestHead,
        account: AccountConfig?,
        route: RouteConfig,
        configuration: ServingConfiguration
    ): Outcome.Failure? = when {
        account == null && configuration.hasAccounts && !route.allowsAnonymous -> failure(
            if (head.apiKey == null) ErrorKind.KEY_MISSING else ErrorKind.KEY_UNKNOWN,
            "the request has no API key of a client account"
        )

        account != null && !account.hasUsableName -> failure(
            ErrorKind.ACCOUNT_UNUSABLE,
            "the name of the client account cannot be sent to backend servers"
        )

        else -> null
    }

    /** Returns why a request is not admitted while the event loop is late, null if it is. */
    private fun lateFailure(
        head: RequestHead,
        account: AccountConfig?,
        route: RouteConfig,
        arrivedAtMillis: Long,
        nowMillis: Long
    ): Outcome.Failure? {
        val staysMillis = minOf(
            route.timeoutMillis,
            route.callerTimeoutMillis ?: Long.MAX_VALUE,
            head.callerTimeoutMillis ?: Long.MAX_VALUE
        )
        val retryMillis = state.lateness.retryAfterMillis(
            head.requestId,
            account?.name.orEmpty(),
            account?.priority ?: route.priority,
            staysMillis - (nowMillis - arrivedAtMillis),
            nowMillis
        ) ?: return null
        return failure(
            ErrorKind.OVERLOADED,
            "the instance is late by ${state.lateness.lagMillis} ms",
            retryAfterMillis = retryMillis
        )
    }

    /** Returns the account that the API key of [head] belongs to, null if there is none. */
    public fun accountOf(head: RequestHead): AccountConfig? =
        head.apiKey?.let { state.configuration?.accountOf(it) }

    /** Returns the tokens that a request counts against the rate of [account]. */
    public fun tokenCostOf(head: RequestHead, account: AccountConfig?): Double =
        head.tokens ?: account?.defaultRequestTokens ?: 0.0

    private fun rateExceeded(
        account: AccountConfig,
        tokens: Double,
        nowMillis: Long
    ): Outcome.Failure = failure(
        ErrorKind.RATE_EXCEEDED,
        "rate limit of account ${account.name} exceeded, this instance has a share of " +
            DecimalText.of(state.quota.shareOf(account.name), SHARE_DIGITS),
        retryAfterMillis = state.quota.waitMillis(account, tokens, nowMillis)
    )

    @Suppress("LongParameterList")
    private fun admittedHead(
        head: RequestHead,
        route: RouteConfig,
        account: AccountConfig?,
        tokens: Double,
        arrivedAtMillis: Long,
        nowMillis: Long,
        configuration: ServingConfiguration
    ): AdmittedHead {
        val service = state.routes.serviceFor(route, head.requestId)
        check(service in configuration.services) { "route ${route.name} has an unknown service" }
        val callerDeadlineAtMillis = head.callerTimeoutMillis?.let { arrivedAtMillis + it }
        val routeDeadlineAtMillis = arrivedAtMillis + route.timeoutMillis
        return AdmittedHead(
            head = head,
            route = route,
            service = service,
            account = account,
            tokens = tokens,
            arrivedAtMillis = arrivedAtMillis,
            admittedAtMillis = nowMillis,
            deadlineAtMillis = minOf(
                routeDeadlineAtMillis,
                callerDeadlineAtMillis ?: routeDeadlineAtMillis
            ),
            configurationVersion = configuration.version
        )
    }

    private companion object {
        /** A starting instance receives its configuration and its shares within a second. */
        const val NOT_READY_RETRY_MILLIS = 800L

        /** Spreads retries, as an instance is slow while it starts. */
        const val NOT_READY_JITTER_MILLIS = 500

        /** Most bodies arrive within it; a slow one is judged by the rate when it is complete. */
        const val MAX_ADMISSION_AGE_MILLIS = 1_000L

        const val SHARE_DIGITS = 4
    }
}
