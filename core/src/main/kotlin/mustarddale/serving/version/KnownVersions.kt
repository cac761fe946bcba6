package mustarddale.serving.version

/** What is known of the software versions that began the streams of one service. */
public sealed interface KnownVersions {
    /** All of them were begun by [version]. */
    public data class One(public val version: String) : KnownVersions

    /** The service has had no server, so no stream can go on. */
    public data object None : KnownVersions

    /** Several versions began them, so each stream needs a record. */
    public data object Several : KnownVersions

    /** A version may have come of which nothing has been heard. */
    public data object Unknown : KnownVersions
}
