package mustarddale.error

/**
 * A final refusal of one request or change.
 *
 * @property field the field or header at fault, null where there is none.
 * @property retryAfterMillis when to come back, null where coming back will not help.
 */
public data class Refusal(
    public val kind: ErrorKind,
    public val message: String,
    public val field: String? = null,
    public val retryAfterMillis: Long? = null
)
