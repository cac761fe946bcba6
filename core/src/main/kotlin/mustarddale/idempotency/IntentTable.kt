/*
 * The memory of non-repeatable calls. The first record of an intent in log order wins, and only its
 * writer may ever send the call. An intent that was not settled has an unknown outcome for good.
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

/** The answer of a backend server, kept so that a retry gets it too. */
@Serializable
public data class StoredAnswer(
    public val status: Int,
    public val contentType: String?,
    public val body: String?,
    public val location: String? = null
)

/**
 * One non-repeatable call.
 *
 * @property answer the answer, null while the outcome is unknown.
 */
@Serializable
public data class Intent(
    public val intentId: String,
    public val bodyDigest: String,
    public val writer: WriterId,
    public val openedAtMillis: Long,
    public val answer: StoredAnswer? = null
)

/** All remembered intents, oldest first. */
public data class IntentTable(private val byId: PersistentMap<String, Intent> = persistentMapOf()) {
    /** The intent called [intentId], null if there is none. */
    public fun find(intentId: String): Intent? = byId[intentId]

    /** All remembered intents, oldest first. */
    public fun entries(): List<Intent> = byId.values.toList()

    /** How many intents are remembered. */
    public val size: Int get() = byId.size

    /** Opens an intent for [writer] unless there is one, the key is old, or the table is full. */
    public fun open(
        record: IntentOpened,
        writer: WriterId,
        nowMillis: Long,
        limits: Limits
    ): Outcome<IntentTable> {
        val current = dropExpired(nowMillis, limits.rememberMillis)
        current.refusalOf(record, nowMillis, limits)?.let { return it }
        val intent = Intent(record.intentId, record.bodyDigest, writer, nowMillis)
        return Outcome.Success(current.copy(byId = current.byId.put(intent.intentId, intent)))
    }

    /** Notes the answer to the call of [writer]. */
    public fun settle(record: IntentSettled, writer: WriterId): IntentTable {
        val intent = byId[record.intentId]?.takeIf { it.writer == writer } ?: return this
        return copy(byId = byId.put(intent.intentId, intent.copy(answer = record.answer)))
    }

    /** Forgets the intent of [writer], which was not sent and will not be. */
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
                "a call with this Idempotency-Key was taken on before",
                IdempotencyKey.HEADER
            )

            isExpired -> IdempotencyKey.expiredFailure()

            byId.size >= limits.maxRemembered -> failure(
                ErrorKind.IDEMPOTENCY_TABLE_FULL,
                "limits.maxRemembered calls are remembered",
                retryAfterMillis = FULL_RETRY_MILLIS
            )

            else -> null
        }
    }

    private fun dropExpired(nowMillis: Long, rememberMillis: Long): IntentTable {
        val keptMillis = rememberMillis + IdempotencyKey.MAX_CLOCK_SKEW_MILLIS
        val expired = byId.values.takeWhile { nowMillis - it.openedAtMillis > keptMillis }
        if (expired.isEmpty()) return this
        return copy(byId = expired.fold(byId) { map, intent -> map.remove(intent.intentId) })
    }

    public companion object {
        private const val FULL_RETRY_MILLIS = 60_000L

        /** Returns the table with [intents], oldest first. */
        public fun of(intents: List<Intent>): IntentTable =
            IntentTable(intents.associateBy { it.intentId }.toPersistentMap())
    }
}
