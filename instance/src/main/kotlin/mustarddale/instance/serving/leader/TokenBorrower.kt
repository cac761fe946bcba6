/*
 * Requests tokens from the leader when a request needs more than this instance's share provides.
 * The leader takes them out of its pool before it answers, so a lost answer loses tokens but never
 * creates any. Runs on the event loop.
 */
package mustarddale.instance.serving.leader

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.time.Clock

/** Borrows tokens of client accounts from the leader's pool; sends requests by [send]. */
public class TokenBorrower(private val clock: Clock) {
    private val pendingRequests = HashMap<Long, CompletableDeferred<Long>>()
    private val poolEmptyUntilMillis = HashMap<String, Long>()
    private var lastNumber = 0L

    /** Sends a message to the leader; returns false if there is no connection to one. */
    public var send: (LeaderMessage.TokensWanted) -> Boolean = { false }

    /**
     * Borrows [tokens] of [account]; returns 0 if they were granted, else the milliseconds until
     * the pool may have them, or null if the leader gave no answer.
     */
    public suspend fun borrow(account: String, tokens: Double): Long? {
        val emptyUntilMillis = poolEmptyUntilMillis[account] ?: 0
        val nowMillis = clock.monotonicMillis()
        if (nowMillis < emptyUntilMillis) return emptyUntilMillis - nowMillis
        lastNumber++
        val number = lastNumber
        val answer = CompletableDeferred<Long>()
        pendingRequests[number] = answer
        try {
            if (!send(LeaderMessage.TokensWanted(number, account, tokens))) return null
            val waitMillis =
                withTimeoutOrNull(ANSWER_TIMEOUT_MILLIS) { answer.await() } ?: return null
            if (waitMillis > 0) {
                val untilMillis =
                    clock.monotonicMillis() + waitMillis.coerceAtMost(MAX_POOL_EMPTY_MILLIS)
                poolEmptyUntilMillis[account] = untilMillis
            }
            return waitMillis
        } finally {
            pendingRequests.remove(number)
        }
    }

    /** Passes the leader's answer to the waiting [borrow] call, if it has not timed out. */
    public fun handleAnswer(message: LeaderMessage.TokensGiven) {
        pendingRequests.remove(message.number)?.complete(message.waitMillis)
    }

    private companion object {
        /** The leader answers within milliseconds; a request that waits longer is late anyway. */
        const val ANSWER_TIMEOUT_MILLIS = 60L

        /** Short, because shares that other instances return can refill the pool earlier. */
        const val MAX_POOL_EMPTY_MILLIS = 100L
    }
}
