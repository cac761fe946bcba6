package mustarddale.error

/** The result of an operation that can be refused. */
public sealed interface Outcome<out T> {
    /** The operation gave [value]. */
    public data class Success<T>(public val value: T) : Outcome<T>

    /** The operation was refused. */
    public data class Failure(public val refusal: Refusal) : Outcome<Nothing>
}

/** Returns the failure for [kind]. */
public fun failure(
    kind: ErrorKind,
    message: String,
    field: String? = null,
    retryAfterMillis: Long? = null
): Outcome.Failure = Outcome.Failure(Refusal(kind, message, field, retryAfterMillis))

/** Applies [transform] to the value of a success and passes a failure on. */
public inline fun <T, R> Outcome<T>.flatMap(transform: (T) -> Outcome<R>): Outcome<R> =
    when (this) {
        is Outcome.Success -> transform(value)
        is Outcome.Failure -> this
    }
