/*
 * Requests from the leader what this instance has no share of: tokens of client accounts, permits
 * for requests to cold and limited backend servers, probes of blocked prompts, and trials of
 * requests that may crash servers. The leader
 * counts a loan before it answers, so a lost answer loses the loan but never creates one. Runs on
 * the event loop.
 */
package mustarddale.instance.serving.leader

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.BackendSelection
import mustarddale.serving.limit.RequestPacer
import mustarddale.serving.limit.SendPermit
import mustarddale.time.Clock

/** Borrows tokens and permits from the leader; sends requests by [send]. */
public class LeaderLoans(private val clock: Clock) {
    private val pendingRequests = HashMap<Long, CompletableDeferred<LeaderMessage.LoanAnswer>>()
    private val emptyPools = HashMap<String, EmptyPool>()
    private var lastNumber = 0L

    /** Sends a message to the leader; returns false if there is no connection to one. */
    public var send: (LeaderMessage.LoanRequest) -> Boolean = { false }

    /**
     * Borrows [tokens] of [account]; returns 0 if they were granted, else the milliseconds until
     * the pool may have them, or null if the leader gave no answer.
     */
    public suspend fun borrowTokens(account: String, tokens: Double): Long? {
        knownTokenWaitMillis(account, clock.monotonicMillis())?.let { return it }
        val waitMillis = request(TOKEN_TIMEOUT_MILLIS) {
            LeaderMessage.TokensWanted(it, account, tokens)
        }?.waitMillis ?: return null
        if (waitMillis > 0) {
            val nowMillis = clock.monotonicMillis()
            emptyPools[account] = EmptyPool(
                askAgainAtMillis = nowMillis + waitMillis.coerceAtMost(MAX_POOL_EMPTY_MILLIS),
                tokensAtMillis = nowMillis + waitMillis
            )
        }
        return waitMillis
    }

    /**
     * Returns the milliseconds until the leader's pool may have tokens of [account], as the leader
     * answered a short time ago; null if it is to be asked.
     */
    public fun knownTokenWaitMillis(account: String, nowMillis: Long): Long? =
        emptyPools[account]?.takeIf { nowMillis < it.askAgainAtMillis }
            ?.let { it.tokensAtMillis - nowMillis }

    private class EmptyPool(val askAgainAtMillis: Long, val tokensAtMillis: Long)

    /**
     * Requests a permit for one request to the server [target], which the request can await for
     * [maxDelayMillis]; null if the leader gave no answer in time.
     */
    public suspend fun borrowPermit(
        target: BackendSelection.Selected,
        maxDelayMillis: Long
    ): SendPermit? {
        val server = target.backend
        val sentMillis = clock.monotonicMillis()
        val answer = request(RequestPacer.PERMIT_LIFETIME_MILLIS) {
            LeaderMessage.PermitWanted(
                number = it,
                service = server.service,
                backend = server.id,
                run = server.run,
                isCold = target.needsColdPermit,
                requestsPerSecond = target.requestsPerSecond,
                maxDelayMillis = maxDelayMillis
            )
        }
        val ageMillis = clock.monotonicMillis() - sentMillis
        return when {
            answer == null || ageMillis >= RequestPacer.PERMIT_LIFETIME_MILLIS -> null
            answer.waitMillis > 0 -> SendPermit.Refused(answer.waitMillis)
            else -> SendPermit.Granted((answer.delayMillis - ageMillis).coerceAtLeast(0))
        }
    }

    /**
     * Requests a permit to send one blocked request, whose prompt has [parts]; returns 0 if it was
     * granted, else the milliseconds until the next one is available, or null if the leader
     * gave no answer.
     */
    public suspend fun borrowProbe(parts: List<String>): Long? =
        request(TOKEN_TIMEOUT_MILLIS) { LeaderMessage.ProbeWanted(it, parts) }?.waitMillis

    /**
     * Requests a permit to send the suspected request [digest] to [server] once; returns 0 if it
     * was granted, else the milliseconds until the next request, or null if the leader gave no
     * answer.
     */
    public suspend fun borrowTrial(digest: String, server: Backend): Long? =
        request(TOKEN_TIMEOUT_MILLIS) {
            LeaderMessage.TrialWanted(it, digest, server.service, server.run)
        }?.waitMillis

    /**
     * Requests the version that began the stream of [request]; the answer has none if the leader
     * does not know it, and is null if the leader gave no answer.
     */
    public suspend fun requestVersion(request: String): LeaderMessage.LoanAnswer? =
        request(TOKEN_TIMEOUT_MILLIS) { LeaderMessage.VersionWanted(it, request) }

    private suspend fun request(
        timeoutMillis: Long,
        message: (Long) -> LeaderMessage.LoanRequest
    ): LeaderMessage.LoanAnswer? {
        lastNumber++
        val number = lastNumber
        val answer = CompletableDeferred<LeaderMessage.LoanAnswer>()
        pendingRequests[number] = answer
        try {
            if (!send(message(number))) return null
            return withTimeoutOrNull(timeoutMillis) { answer.await() }
        } finally {
            pendingRequests.remove(number)
        }
    }

    /** Passes the leader's answer to the waiting call, if it has not timed out. */
    public fun handleAnswer(message: LeaderMessage.LoanAnswer) {
        pendingRequests.remove(message.number)?.complete(message)
    }

    private companion object {
        /** The leader answers within milliseconds; a request that waits longer is late anyway. */
        const val TOKEN_TIMEOUT_MILLIS = 60L

        /** Short, because shares that other instances return can refill the pool earlier. */
        const val MAX_POOL_EMPTY_MILLIS = 100L
    }
}
