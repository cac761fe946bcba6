/*
 * For which time an instance knows all software versions that servers had. It follows the list of
 * servers from its start, or from a gap, to the newest read; what was listed before that only
 * another instance can tell.
 */
package mustarddale.serving.version

/**
 * The reach of what an instance has heard, in milliseconds of its monotonic clock.
 *
 * @property followedSinceMillis since when it has missed no entry of the list.
 * @property pastToldMillis when another instance last told which versions there were before, null
 *   if none has.
 * @property currentAsOfMillis the time as of which the list is complete.
 */
public data class ListCoverage(
    public val followedSinceMillis: Long,
    public val pastToldMillis: Long?,
    public val currentAsOfMillis: Long
) {
    /** Whether the versions of all streams begun before [atMillis] that can go on are known. */
    public fun isCompleteAt(atMillis: Long): Boolean = currentAsOfMillis >= atMillis && isPastKnown

    private val isPastKnown: Boolean
        get() = (pastToldMillis != null && pastToldMillis >= followedSinceMillis) ||
            currentAsOfMillis - followedSinceMillis >= StreamRecords.TTL_MILLIS
}
