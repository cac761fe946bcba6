/*
 * What a process learns when a record of its own is in the leadership log.
 */
package mustarddale.serving.leadership

/**
 * A term for which this process was elected.
 *
 * @property predecessor the newest record of the previous leader, null if there was none.
 * @property lastForeignOrder the newest order that another leader may have sent to an engine.
 * @property sinceMillis when the winning record was sent, on the local monotonic clock.
 */
public data class LeadershipTerm(
    public val term: Long,
    public val predecessor: LeaderRecord?,
    public val lastForeignOrder: LastOrder?,
    public val sinceMillis: Long
) {
    /** Whether records of the last leaders may have been lost. */
    public val mayLackRecords: Boolean
        get() = lastForeignOrder?.instance == LastOrder.UNKNOWN_INSTANCE

    /** The newest call that another leader may have sent to the platform for [instance]. */
    public fun lastForeignCall(instance: String): LastOrder? = when {
        predecessor == null || mayLackRecords -> lastForeignOrder
        predecessor.isResigning || predecessor.instance == instance -> predecessor.lastCall
        else -> lastForeignOrder
    }
}

/**
 * A [record] of this process that is in the log.
 *
 * @property newTerm the term that it begins, null if it renews one.
 */
public data class RecordedLeadership(
    public val record: LeaderRecord,
    public val newTerm: LeadershipTerm?
)
