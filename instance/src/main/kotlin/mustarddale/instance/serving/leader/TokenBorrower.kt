/*
 * Asks the leader for tokens when a request finds too few in this instance's shares. The leader
 * takes them out of its pool before it answers, so a lost answer loses tokens and never makes any.
 * It runs on the event loop.
 */
package mustarddale.instance.serving.leader

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.time.Clock

/** The open requests for tokens; [send] passes a message on to the leader if there is one. */
public class TokenBorrower(private val clock: Clock) {
    private val open = HashMap<Long, CompletableDeferred<Long>>()
    private val emptyUntilMillis = HashMap<String, Long>()
    private var lastNumber = 0L

    /** Sends a message to the leader; false if it cannot be reached. */
    public var send: (LeaderMessage.TokensWanted) -> Boolean = { false }

    /** Borrows [tokens] of [account]; returns 0 if they were given, else how long to wait. */
    public suspend fun borrow(account: String, tokens: Double): Long? {
        val emptyUntil = emptyUntilMillis[account] ?: 0
        val nowMillis = clock.monotonicMillis()
        if (nowMillis < emptyUntil) return emptyUntil - nowMillis
        lastNumber++
        val number = lastNumber
        val answer = CompletableDeferred<Long>()
        open[number] = answer
        try {
            if (!send(LeaderMessage.TokensWanted(number, account, tokens))) return null
            val waitMillis = withTimeoutOrNull(ANSWER_MILLIS) { answer.await() } ?: return null
            if (waitMillis > 0) {
                val until = clock.monotonicMillis() + waitMillis.coerceAtMost(MAX_EMPTY_MILLIS)
                emptyUntilMillis[account] = until
            }
            return waitMillis
        } finally {
            open.remove(number)
        }
    }

    /** Takes in the leader's answer. */
    public fun answered(message: LeaderMessage.TokensGiven) {
        open.remove(message.number)?.complete(message.waitMillis)
    }

    private companion object {
        /** The leader answers within a few milliseconds; later the request is late anyway. */
        const val ANSWER_MILLIS = 60L

        /** The leader is asked again soon, because other instances give shares back. */
        const val MAX_EMPTY_MILLIS = 100L
    }
}
