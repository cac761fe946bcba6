package mustarddale.error

/**
 * The reason why one request or configuration change was refused.
 *
 * @property field the invalid field or header, null if no single field is the cause.
 * @property retryAfterMillis the delay before a retry, null if a retry would not help.
 */
public data class Refusal(
    public val kind: ErrorKind,
    public val message: String,
    public val field: String? = null,
    public val retryAfterMillis: Long? = null
)
