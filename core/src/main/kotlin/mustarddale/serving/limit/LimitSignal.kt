package mustarddale.serving.limit

/** What one response says of the limit that its server sets for requests of all instances. */
public sealed interface LimitSignal {
    /** The server accepts [requestsPerSecond], a finite number of 0 or more. */
    public data class Limited(public val requestsPerSecond: Double) : LimitSignal

    /** The server sets no limit. */
    public data object Unlimited : LimitSignal

    /** The server sets a limit that cannot be read; what was known before still applies. */
    public data class Unreadable(public val text: String) : LimitSignal
}
