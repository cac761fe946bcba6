/*
 * Decides whether a request is admitted: the instance needs a configuration, the path a route, the
 * API key a client account, and the account enough tokens.
 */
package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.RequestHeaders
import java.util.Locale
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

/** Admits requests by the configuration and the quota in [state]. */
public class Admission(private val state: ServingState) {
    /**
     * Admits the request that arrived at [arrivedAtMillis] and takes its tokens at [nowMillis].
     *
     * @param areTokensTaken whether its tokens were already taken from the leader's pool.
     */
    public fun admit(
        head: RequestHead,
        headers: RequestHeaders,
        body: RequestBody,
        arrivedAtMillis: Long,
        nowMillis: Long,
        areTokensTaken: Boolean = false
    ): Outcome<AdmittedRequest> {
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
        accountFailure(head, account, route, configuration)?.let { return it }
        val tokens = tokenCostOf(head, account)
        if (account != null && !areTokensTaken &&
            !state.quota.tryTake(account, tokens, nowMillis)
        ) {
            return rateExceeded(account, tokens, nowMillis)
        }
        return Outcome.Success(
            admittedRequest(
                head,
                headers,
                body,
                route,
                account,
                tokens,
                arrivedAtMillis,
                configuration
            )
        )
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
            admittedRequest(
                head,
                headers,
                body,
                route,
                account,
                0.0,
                arrivedAtMillis,
                configuration
            )
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
        "rate limit of account %s exceeded, this instance has a share of %.4f"
            .format(Locale.ROOT, account.name, state.quota.shareOf(account.name)),
        retryAfterMillis = state.quota.waitMillis(account, tokens, nowMillis)
    )

    @Suppress("LongParameterList")
    private fun admittedRequest(
        head: RequestHead,
        headers: RequestHeaders,
        body: RequestBody,
        route: RouteConfig,
        account: AccountConfig?,
        tokens: Double,
        arrivedAtMillis: Long,
        configuration: ServingConfiguration
    ): AdmittedRequest {
        val service = state.routes.serviceFor(route, head.requestId)
        check(service in configuration.services) { "route ${route.name} has an unknown service" }
        val callerDeadlineAtMillis = head.callerTimeoutMillis?.let { arrivedAtMillis + it }
        val routeDeadlineAtMillis = arrivedAtMillis + route.timeoutMillis
        return AdmittedRequest(
            head = head,
            headers = headers,
            body = body,
            route = route,
            service = service,
            account = account,
            tokens = tokens,
            arrivedAtMillis = arrivedAtMillis,
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
    }
}
