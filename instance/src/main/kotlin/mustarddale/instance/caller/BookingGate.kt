/*
 * Lets a non-repeatable call through at most once over all instances. The intent stands in the log
 * before the call is sent, and only the writer of the first intent may send it.
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

/** A non-repeatable call. */
public data class Booking(
    public val intentId: String,
    public val bodyDigest: String,
    public val keyTimeMillis: Long?
) {
    public companion object {
        /** The call that [account] makes to [prefix], with [target] and [body], under [key]. */
        public fun of(
            account: String,
            prefix: String,
            key: String,
            target: String,
            body: String
        ): Booking = Booking(
            intentId = IdempotencyKey.intentId(account, prefix, key),
            bodyDigest = Sha256.of("$target\n$body"),
            keyTimeMillis = IdempotencyKey.timeMillis(key)
        )
    }
}

/** What the gate says to a call. */
public sealed interface GateAnswer {
    /** Send it, now and once. */
    public data object Send : GateAnswer

    /** It ran before, and this was the answer. */
    public data class Replay(public val answer: StoredAnswer) : GateAnswer
}

/** The gate, which writes intents with [records]. */
public class BookingGate(
    private val store: ControlStore,
    private val records: RecordWriter,
    private val clock: Clock,
    private val appendTimeoutMillis: Long
) {
    /** Returns what is known of [booking] without writing anything; null if it is new. */
    public fun known(booking: Booking): Outcome<GateAnswer>? {
        val state = store.state
        val limits = state.index.configuration.limits
        val intent = state.intents.find(booking.intentId)
        val isExpired =
            IdempotencyKey.isExpired(booking.keyTimeMillis, clock.wallMillis(), limits)
        return when {
            intent != null -> knownAnswer(intent, booking)
            isExpired -> IdempotencyKey.expiredFailure()
            else -> null
        }
    }

    /** Opens the intent of [booking]; only after [GateAnswer.Send] may it be sent. */
    public suspend fun open(booking: Booking): Outcome<GateAnswer> {
        val record =
            IntentOpened(booking.intentId, booking.bodyDigest, booking.keyTimeMillis)
        val outcome = records.append(record, appendTimeoutMillis) { abandon(booking) }.await()
        return when (outcome) {
            is WriteOutcome.Written -> opened(outcome.status, booking)

            is WriteOutcome.NotWritten, is WriteOutcome.Unresolved -> failure(
                ErrorKind.LOG_UNAVAILABLE,
                "the call could not be recorded and was not sent",
                retryAfterMillis = LOG_RETRY_MILLIS
            )
        }
    }

    /**
     * Records [answer], so that retries get it too; waits for that, but not for long, so that a
     * caller who has the answer finds it again.
     */
    public suspend fun settle(booking: Booking, answer: StoredAnswer) {
        val kept = if (answer.body.orEmpty().length <= MAX_KEPT_CHARS) {
            answer
        } else {
            answer.copy(body = null)
        }
        val record = IntentSettled(booking.intentId, kept)
        val written = records.append(record, SETTLE_TIMEOUT_MILLIS)
        withTimeoutOrNull(appendTimeoutMillis) { written.asDeferred().join() }
    }

    /** Records that [booking] was not sent and will not be. */
    public fun abandon(booking: Booking) {
        records.append(IntentAbandoned(booking.intentId), SETTLE_TIMEOUT_MILLIS)
    }

    private fun opened(verdict: RecordStatus, booking: Booking): Outcome<GateAnswer> =
        when (verdict) {
            is RecordStatus.Accepted -> Outcome.Success(GateAnswer.Send)

            is RecordStatus.Rejected ->
                store.state.intents.find(booking.intentId)?.let { knownAnswer(it, booking) }
                    ?: Outcome.Failure(verdict.refusal)

            is RecordStatus.Duplicate, is RecordStatus.Unreadable -> failure(
                ErrorKind.LOG_UNAVAILABLE,
                "the call could not be recorded and was not sent",
                retryAfterMillis = LOG_RETRY_MILLIS
            )
        }

    private fun knownAnswer(intent: Intent, booking: Booking): Outcome<GateAnswer> {
        val answer = intent.answer
        return when {
            intent.bodyDigest != booking.bodyDigest -> failure(
                ErrorKind.IDEMPOTENCY_BODY_DIFFERS,
                "this ${IdempotencyKey.HEADER} was used with another body",
                IdempotencyKey.HEADER
            )

            answer == null -> failure(
                ErrorKind.IDEMPOTENCY_IN_PROGRESS,
                "a call with this key was taken on; its outcome is not known yet",
                IdempotencyKey.HEADER,
                retryAfterMillis = IN_PROGRESS_RETRY_MILLIS
            )

            answer.body == null && answer.contentType != null -> failure(
                ErrorKind.IDEMPOTENCY_IN_PROGRESS,
                "the call ran with status ${answer.status}; its answer was too long to keep",
                IdempotencyKey.HEADER
            )

            else -> Outcome.Success(GateAnswer.Replay(answer))
        }
    }

    private companion object {
        const val MAX_KEPT_CHARS = 4_096
        const val LOG_RETRY_MILLIS = 2_000L
        const val IN_PROGRESS_RETRY_MILLIS = 1_000L
        const val SETTLE_TIMEOUT_MILLIS = 2 * 60 * 60_000L
    }
}
