package mustarddale.serving.backend

/** What one refusal says of the time for which its server wants no requests from this instance. */
public sealed interface RestSignal {
    /** The server names no time. */
    public data object None : RestSignal

    /** The server wants no requests for [millis] from now. */
    public data class Rest(public val millis: Long) : RestSignal

    /** The server names a time that cannot be read; it counts as none. */
    public data class Unreadable(public val text: String) : RestSignal
}
