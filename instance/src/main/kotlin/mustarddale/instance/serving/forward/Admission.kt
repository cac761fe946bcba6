/*
 * Decides whether a request may be sent at all: the instance must know a configuration, the path
 * must have a route, the key an account, and the account tokens left.
 */
package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.RequestHeaders
import java.util.Locale
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure
import mustarddale.instance.serving.protocol.RequestHead
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.config.ServedAccount
import mustarddale.serving.config.ServedRoute
import mustarddale.serving.config.ServingConfiguration

/** Admits requests by the beliefs in [state]. */
public class Admission(private val state: ServingState) {
    /**
     * Admits the request that arrived at [arrivedAtMillis] and was read by [nowMillis].
     *
     * @param arePaid whether its tokens were taken elsewhere already.
     */
    public fun admit(
        head: RequestHead,
        headers: RequestHeaders,
        body: HttpData,
        arrivedAtMillis: Long,
        nowMillis: Long,
        arePaid: Boolean = false
    ): Outcome<Admitted> {
        val configuration = state.configuration
            ?: return failure(
                ErrorKind.NOT_READY,
                "no configuration is known yet",
                retryAfterMillis = NOT_READY_RETRY_MILLIS +
                    Math.floorMod(head.requestId.hashCode(), NOT_READY_SPREAD_MILLIS)
            )
        val route = state.routes.find(head.host, head.path)
            ?: return failure(ErrorKind.ROUTE_UNKNOWN, "no route for ${head.host}${head.path}")
        val account = head.apiKey?.let { configuration.accountOf(it) }
        if (account == null && configuration.hasAccounts && !route.isOpenToAll) {
            val kind = if (head.apiKey == null) ErrorKind.KEY_MISSING else ErrorKind.KEY_UNKNOWN
            return failure(kind, "no client account holds the key")
        }
        val tokens = tokensOf(head, account)
        if (account != null && !arePaid && !state.quota.tryTake(account, tokens, nowMillis)) {
            return rateExceeded(account, tokens, nowMillis)
        }
        return Outcome.Success(
            admitted(head, headers, body, route, account, tokens, arrivedAtMillis, configuration)
        )
    }

    /** Returns the account of [head], null if its key belongs to none. */
    public fun accountOf(head: RequestHead): ServedAccount? =
        head.apiKey?.let { state.configuration?.accountOf(it) }

    /** Returns what a request counts against the rate of [account]. */
    public fun tokensOf(head: RequestHead, account: ServedAccount?): Double =
        head.tokens ?: account?.tokensWithoutCount ?: 0.0

    private fun rateExceeded(
        account: ServedAccount,
        tokens: Double,
        nowMillis: Long
    ): Outcome.Failure = failure(
        ErrorKind.RATE_EXCEEDED,
        "account %s has a share of %.4f here"
            .format(Locale.ROOT, account.name, state.quota.shareOf(account.name)),
        retryAfterMillis = state.quota.waitMillis(account, tokens, nowMillis)
    )

    @Suppress("LongParameterList")
    private fun admitted(
        head: RequestHead,
        headers: RequestHeaders,
        body: HttpData,
        route: ServedRoute,
        account: ServedAccount?,
        tokens: Double,
        arrivedAtMillis: Long,
        configuration: ServingConfiguration
    ): Admitted {
        val service = state.routes.serviceFor(route, head.requestId)
        check(service in configuration.services) { "route ${route.name} names no service" }
        val deadlineAt = head.callerTimeoutMillis?.let { arrivedAtMillis + it }
        val timeoutAt = arrivedAtMillis + route.timeoutMillis
        return Admitted(
            head = head,
            headers = headers,
            body = body,
            route = route,
            service = service,
            account = account,
            tokens = tokens,
            arrivedAtMillis = arrivedAtMillis,
            giveUpAtMillis = minOf(timeoutAt, deadlineAt ?: timeoutAt)
        )
    }

    private companion object {
        /** An instance that starts knows its configuration, and its shares, within a second. */
        const val NOT_READY_RETRY_MILLIS = 800L

        /** Keeps callers from returning together while the instance is still slow. */
        const val NOT_READY_SPREAD_MILLIS = 500
    }
}
