/*
 * Idempotency keys that contain a timestamp (UUID version 7, RFC 9562) can be rejected once they
 * are older than the intent table keeps calls. Other keys have no timestamp, so they prevent a
 * second run only while the table still contains the first call.
 */
package mustarddale.idempotency

import mustarddale.config.Limits
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure
import mustarddale.key.Sha256

/** The rules for the Idempotency-Key header. */
public object IdempotencyKey {
    /** The name of the header. */
    public const val HEADER: String = "Idempotency-Key"

    /** How far a caller's clock may be ahead of the log's clock. */
    public const val MAX_CLOCK_SKEW_MILLIS: Long = 5 * 60_000L

    private const val MAX_LENGTH = 255

    /** A version 7 UUID starts with 48 bits of Unix time in milliseconds. */
    private const val TIME_DIGITS = 12
    private const val HEX_RADIX = 16
    private val uuidV7 = Regex("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[0-9a-fA-F-]{17}")

    /** Returns [key]; fails if it is missing, blank or too long. */
    public fun validate(key: String?): Outcome<String> = when {
        key.isNullOrBlank() -> failure(
            ErrorKind.IDEMPOTENCY_KEY_MISSING,
            "calls to this route require the header $HEADER",
            HEADER
        )

        key.length > MAX_LENGTH ->
            failure(ErrorKind.INVALID_REQUEST, "exceeds $MAX_LENGTH characters", HEADER)

        else -> Outcome.Success(key)
    }

    /** Returns the id of the intent for a call by [account] to the route [prefix] with [key]. */
    public fun intentId(account: String, prefix: String, key: String): String =
        Sha256.of("$account\n$prefix\n$key").take(INTENT_ID_DIGITS)

    /** Returns the Unix time in [key] in milliseconds, null if it has no timestamp. */
    public fun timeMillis(key: String): Long? =
        if (uuidV7.matches(key)) key.replace("-", "").take(TIME_DIGITS).toLong(HEX_RADIX) else null

    /** Whether [keyTimeMillis] is before the retention period or too far ahead; false if null. */
    public fun isExpired(keyTimeMillis: Long?, nowMillis: Long, limits: Limits): Boolean {
        if (keyTimeMillis == null) return false
        val isPastRetention = nowMillis - keyTimeMillis > limits.rememberMillis
        return isPastRetention || keyTimeMillis - nowMillis > MAX_CLOCK_SKEW_MILLIS
    }

    /** Returns the failure for an expired key. */
    public fun expiredFailure(): Outcome.Failure = failure(
        ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
        "the key's timestamp is outside the retention period; look up the call's result instead",
        HEADER
    )

    private const val INTENT_ID_DIGITS = 32
}
