package mustarddale.error

/** The result of an operation that can fail with a [Refusal]. */
public sealed interface Outcome<out T> {
    /** The operation succeeded with [value]. */
    public data class Success<T>(public val value: T) : Outcome<T>

    /** The operation failed with [refusal]. */
    public data class Failure(public val refusal: Refusal) : Outcome<Nothing>
}

/** Returns a failure of [kind]; see [Refusal] for the parameters. */
public fun failure(
    kind: ErrorKind,
    message: String,
    field: String? = null,
    retryAfterMillis: Long? = null
): Outcome.Failure = Outcome.Failure(Refusal(kind, message, field, retryAfterMillis))

/** Returns the result of [transform] for the value of a success; returns a failure unchanged. */
public inline fun <T, R> Outcome<T>.flatMap(transform: (T) -> Outcome<R>): Outcome<R> =
    when (this) {
        is Outcome.Success -> transform(value)
        is Outcome.Failure -> this
    }
