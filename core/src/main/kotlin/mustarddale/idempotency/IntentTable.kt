/*
 * The table of non-repeatable calls. The first record of an intent in log order wins, and only its
 * writer may ever send the call. If an intent is never settled, its outcome stays unknown.
 */
package mustarddale.idempotency

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import mustarddale.config.Limits
import mustarddale.control.ControlRecord.IntentOpened
import mustarddale.control.ControlRecord.IntentSettled
import mustarddale.control.WriterId
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure

/** A backend server's response, stored to be replayed to retries with the same key. */
@Serializable
public data class StoredAnswer(
    public val status: Int,
    public val contentType: String?,
    public val body: String?,
    public val location: String? = null
)

/**
 * A non-repeatable call that [writer] may send.
 *
 * @property answer the backend server's response, null while the outcome is unknown.
 */
@Serializable
public data class Intent(
    public val intentId: String,
    public val bodyDigest: String,
    public val writer: WriterId,
    public val openedAtMillis: Long,
    public val answer: StoredAnswer? = null
)

/** The stored intents, oldest first. */
public data class IntentTable(private val byId: PersistentMap<String, Intent> = persistentMapOf()) {
    /** Returns the intent with the id [intentId], null if there is none. */
    public fun find(intentId: String): Intent? = byId[intentId]

    /** Returns all stored intents, oldest first. */
    public fun entries(): List<Intent> = byId.values.toList()

    /** The number of stored intents. */
    public val size: Int get() = byId.size

    /** Opens an intent for [writer] unless it exists, its key has expired or the table is full. */
    public fun open(
        record: IntentOpened,
        writer: WriterId,
        nowMillis: Long,
        limits: Limits
    ): Outcome<IntentTable> {
        val current = removeExpired(nowMillis, limits.rememberMillis)
        current.refusalOf(record, nowMillis, limits)?.let { return it }
        val intent = Intent(record.intentId, record.bodyDigest, writer, nowMillis)
        return Outcome.Success(current.copy(byId = current.byId.put(intent.intentId, intent)))
    }

    /** Stores the response to a call of [writer]; ignored if another writer opened the intent. */
    public fun settle(record: IntentSettled, writer: WriterId): IntentTable {
        val intent = byId[record.intentId]?.takeIf { it.writer == writer } ?: return this
        return copy(byId = byId.put(intent.intentId, intent.copy(answer = record.answer)))
    }

    /** Removes an unsettled intent of [writer], whose call was not and will not be sent. */
    public fun abandon(intentId: String, writer: WriterId): IntentTable {
        val intent = byId[intentId] ?: return this
        if (intent.writer != writer || intent.answer != null) return this
        return copy(byId = byId.remove(intentId))
    }

    private fun refusalOf(record: IntentOpened, nowMillis: Long, limits: Limits): Outcome.Failure? {
        val known = byId[record.intentId]
        val isExpired = IdempotencyKey.isExpired(record.keyTimeMillis, nowMillis, limits)
        return when {
            known != null && known.bodyDigest != record.bodyDigest -> failure(
                ErrorKind.IDEMPOTENCY_BODY_DIFFERS,
                "this Idempotency-Key was used with another body",
                IdempotencyKey.HEADER
            )

            known != null -> failure(
                ErrorKind.IDEMPOTENCY_IN_PROGRESS,
                "a call with this Idempotency-Key was already accepted",
                IdempotencyKey.HEADER
            )

            isExpired -> IdempotencyKey.expiredFailure()

            byId.size >= limits.maxRemembered -> failure(
                ErrorKind.IDEMPOTENCY_TABLE_FULL,
                "the table of non-repeatable calls is full (limits.maxRemembered)",
                retryAfterMillis = TABLE_FULL_RETRY_MILLIS
            )

            else -> null
        }
    }

    private fun removeExpired(nowMillis: Long, rememberMillis: Long): IntentTable {
        // A key's timestamp may be ahead of openedAtMillis by the skew and then expires later.
        val retentionMillis = rememberMillis + IdempotencyKey.MAX_CLOCK_SKEW_MILLIS
        val expired = byId.values.takeWhile { nowMillis - it.openedAtMillis > retentionMillis }
        if (expired.isEmpty()) return this
        return copy(byId = expired.fold(byId) { map, intent -> map.remove(intent.intentId) })
    }

    public companion object {
        private const val TABLE_FULL_RETRY_MILLIS = 60_000L

        /** Returns a table of [intents], which must be ordered oldest first. */
        public fun of(intents: List<Intent>): IntentTable =
            IntentTable(intents.associateBy { it.intentId }.toPersistentMap())
    }
}
