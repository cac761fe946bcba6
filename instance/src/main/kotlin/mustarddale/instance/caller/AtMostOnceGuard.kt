/*
 * At-most-once execution of non-repeatable calls, over all instances. An intent, which names a call
 * by its idempotency key, is written to the log before the call is sent, and only the writer of the
 * first record of that intent may send it.
 */
package mustarddale.instance.caller

import kotlinx.coroutines.future.asDeferred
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.control.ControlRecord.IntentAbandoned
import mustarddale.control.ControlRecord.IntentOpened
import mustarddale.control.ControlRecord.IntentSettled
import mustarddale.control.RecordStatus
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure
import mustarddale.idempotency.IdempotencyKey
import mustarddale.idempotency.Intent
import mustarddale.idempotency.StoredAnswer
import mustarddale.instance.log.ControlStore
import mustarddale.instance.log.RecordWriter
import mustarddale.instance.log.WriteOutcome
import mustarddale.key.Sha256
import mustarddale.time.Clock

/**
 * A call that must not run twice.
 *
 * @property intentId identifies the account, the route and the idempotency key.
 * @property bodyDigest the SHA-256 digest of method, request target and body.
 * @property keyTimeMillis the time in the idempotency key, null if the key carries none.
 */
public data class NonRepeatableCall(
    public val intentId: String,
    public val bodyDigest: String,
    public val keyTimeMillis: Long?
) {
    public companion object {
        /**
         * Returns the call of [account] to the route with [prefix].
         *
         * @param key the idempotency key.
         * @param methodAndTarget the HTTP method and the request target, separated by a space.
         */
        public fun of(
            account: String,
            prefix: String,
            key: String,
            methodAndTarget: String,
            body: String
        ): NonRepeatableCall = NonRepeatableCall(
            intentId = IdempotencyKey.intentId(account, prefix, key),
            bodyDigest = Sha256.of("$methodAndTarget\n$body"),
            keyTimeMillis = IdempotencyKey.timeMillis(key)
        )
    }
}

/** The decision on whether to send a call. */
public sealed interface GuardDecision {
    /** The call is new and may be sent once. */
    public data object Send : GuardDecision

    /** The call ran before and had this [answer], which is returned to the caller again. */
    public data class Replay(public val answer: StoredAnswer) : GuardDecision
}

/**
 * Decides whether a non-repeatable call may be sent.
 *
 * @param appendTimeoutMillis how long to wait until an intent or an answer is in the log.
 */
public class AtMostOnceGuard(
    private val store: ControlStore,
    private val recordWriter: RecordWriter,
    private val clock: Clock,
    private val appendTimeoutMillis: Long
) {
    /** Decides on [call] from known intents, without writing a record; null if it is new. */
    public fun lookUp(call: NonRepeatableCall): Outcome<GuardDecision>? {
        val state = store.state
        val limits = state.index.configuration.limits
        val intent = state.intents.find(call.intentId)
        val isExpired = IdempotencyKey.isExpired(call.keyTimeMillis, clock.wallMillis(), limits)
        return when {
            intent != null -> decisionFor(intent, call)
            isExpired -> IdempotencyKey.expiredFailure()
            else -> null
        }
    }

    /** Writes the intent of [call]; the call may be sent only on [GuardDecision.Send]. */
    public suspend fun open(call: NonRepeatableCall): Outcome<GuardDecision> {
        val record = IntentOpened(call.intentId, call.bodyDigest, call.keyTimeMillis)
        val outcome = recordWriter.append(record, appendTimeoutMillis) { abandon(call) }.await()
        return when (outcome) {
            is WriteOutcome.Written -> decisionOnOpen(outcome.status, call)

            is WriteOutcome.NotWritten, is WriteOutcome.Unresolved -> failure(
                ErrorKind.LOG_UNAVAILABLE,
                "the call could not be written to the log and was not sent",
                retryAfterMillis = LOG_RETRY_AFTER_MILLIS
            )
        }
    }

    /**
     * Writes [answer] to the log for retries of [call]. Waits for the record up to the append
     * timeout, so that a retry by a caller who has received the answer normally finds it.
     */
    public suspend fun settle(call: NonRepeatableCall, answer: StoredAnswer) {
        val stored = if (answer.body.orEmpty().length <= MAX_STORED_BODY_CHARS) {
            answer
        } else {
            answer.copy(body = null)
        }
        val record = IntentSettled(call.intentId, stored)
        val settled = recordWriter.append(record, SETTLE_TIMEOUT_MILLIS)
        withTimeoutOrNull(appendTimeoutMillis) { settled.asDeferred().join() }
    }

    /** Writes to the log that [call] was not sent and will not be. */
    public fun abandon(call: NonRepeatableCall) {
        recordWriter.append(IntentAbandoned(call.intentId), SETTLE_TIMEOUT_MILLIS)
    }

    private fun decisionOnOpen(
        status: RecordStatus,
        call: NonRepeatableCall
    ): Outcome<GuardDecision> = when (status) {
        is RecordStatus.Accepted -> Outcome.Success(GuardDecision.Send)

        is RecordStatus.Rejected ->
            store.state.intents.find(call.intentId)?.let { decisionFor(it, call) }
                ?: Outcome.Failure(status.refusal)

        is RecordStatus.Duplicate, is RecordStatus.Unreadable -> failure(
            ErrorKind.LOG_UNAVAILABLE,
            "the call could not be written to the log and was not sent",
            retryAfterMillis = LOG_RETRY_AFTER_MILLIS
        )
    }

    private fun decisionFor(intent: Intent, call: NonRepeatableCall): Outcome<GuardDecision> {
        val answer = intent.answer
        return when {
            intent.bodyDigest != call.bodyDigest -> failure(
                ErrorKind.IDEMPOTENCY_BODY_DIFFERS,
                "this ${IdempotencyKey.HEADER} was already used with another body",
                IdempotencyKey.HEADER
            )

            answer == null -> failure(
                ErrorKind.IDEMPOTENCY_IN_PROGRESS,
                "a call with this key was already accepted; its outcome is not known yet",
                IdempotencyKey.HEADER,
                retryAfterMillis = IN_PROGRESS_RETRY_AFTER_MILLIS
            )

            answer.body == null && answer.contentType != null -> failure(
                ErrorKind.IDEMPOTENCY_IN_PROGRESS,
                "the call ran with status ${answer.status}; its answer was too long to store",
                IdempotencyKey.HEADER
            )

            else -> Outcome.Success(GuardDecision.Replay(answer))
        }
    }

    private companion object {
        const val MAX_STORED_BODY_CHARS = 4_096
        const val LOG_RETRY_AFTER_MILLIS = 2_000L
        const val IN_PROGRESS_RETRY_AFTER_MILLIS = 1_000L
        const val SETTLE_TIMEOUT_MILLIS = 2 * 60 * 60_000L
    }
}
