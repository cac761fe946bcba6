/*
 * Idempotency keys with a time in them (UUID version 7, RFC 9562) can be refused once they are
 * older than the memory of calls. Other keys carry no time; they are safe while remembered.
 */
package mustarddale.idempotency

import mustarddale.config.Limits
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure
import mustarddale.key.Sha256

/** The rules of the Idempotency-Key header. */
public object IdempotencyKey {
    /** The name of the header. */
    public const val HEADER: String = "Idempotency-Key"

    /** How far a caller's clock may be ahead of the log's. */
    public const val MAX_CLOCK_SKEW_MILLIS: Long = 5 * 60_000L

    private const val MAX_LENGTH = 255
    private const val TIME_DIGITS = 12
    private const val HEX = 16
    private val version7 = Regex("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[0-9a-fA-F-]{17}")

    /** Checks the form of [key]. */
    public fun validate(key: String?): Outcome<String> = when {
        key.isNullOrBlank() -> failure(
            ErrorKind.IDEMPOTENCY_KEY_MISSING,
            "a call to this route needs the header $HEADER",
            HEADER
        )

        key.length > MAX_LENGTH ->
            failure(ErrorKind.INVALID_REQUEST, "is longer than $MAX_LENGTH characters", HEADER)

        else -> Outcome.Success(key)
    }

    /** The identity of the call that [account] makes to [prefix] with [key]. */
    public fun intentId(account: String, prefix: String, key: String): String =
        Sha256.of("$account\n$prefix\n$key").take(INTENT_ID_LENGTH)

    /** The time in [key], null if it carries none. */
    public fun timeMillis(key: String): Long? =
        if (version7.matches(key)) key.replace("-", "").take(TIME_DIGITS).toLong(HEX) else null

    /** Whether a key made at [keyTimeMillis] may be older than the memory of calls. */
    public fun isExpired(keyTimeMillis: Long?, nowMillis: Long, limits: Limits): Boolean {
        if (keyTimeMillis == null) return false
        val isOld = nowMillis - keyTimeMillis > limits.rememberMillis
        return isOld || keyTimeMillis - nowMillis > MAX_CLOCK_SKEW_MILLIS
    }

    /** The refusal of an old key. */
    public fun expiredFailure(): Outcome.Failure = failure(
        ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
        "the time in this key is outside what is remembered; look up the booking instead",
        HEADER
    )

    private const val INTENT_ID_LENGTH = 32
}
