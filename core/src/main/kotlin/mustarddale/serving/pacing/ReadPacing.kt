/*
 * How fast an instance reads from new connections of callers. All work of an instance shares one
 * event loop in the order of arrival, so requests that come faster than they can be answered would
 * delay the configuration, the election and the shares without which they can only be refused.
 * Requests that are not read cost nothing.
 */
package mustarddale.serving.pacing

/** The rounds in which waiting connections are read. */
public object ReadPacing {
    /**
     * Returns how many of the waiting connections to read in a round that began [lagMillis] late.
     *
     * @param canAnswer whether the instance has what it needs to answer requests.
     */
    public fun connectionsToRead(canAnswer: Boolean, lagMillis: Long): Int = when {
        !canAnswer -> 0
        lagMillis > MAX_LAG_MILLIS -> 1
        else -> CONNECTIONS_IN_TIME
    }

    /** Returns the time until the next round, in milliseconds. */
    public fun intervalMillis(canAnswer: Boolean): Long =
        if (canAnswer) INTERVAL_MILLIS else STARTING_INTERVAL_MILLIS

    /** A tenth of a frequent latency target of callers. */
    private const val MAX_LAG_MILLIS = 30L
    private const val CONNECTIONS_IN_TIME = 4
    private const val INTERVAL_MILLIS = 2L
    private const val STARTING_INTERVAL_MILLIS = 20L
}
