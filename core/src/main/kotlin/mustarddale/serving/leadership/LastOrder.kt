/*
 * Separates the orders of successive leaders to model engines. An engine that does not check
 * fencing tokens could execute orders of both, so a new leader waits for a while after the last
 * order that another instance may have given.
 */
package mustarddale.serving.leadership

import kotlinx.serialization.Serializable

/**
 * The last order that [instance] gave, or may have given.
 *
 * @property sinceMillis the age of the order at the time of the record that contains it.
 */
@Serializable
public data class LastOrder(public val instance: String, public val sinceMillis: Long) {
    /** Returns this order with an age that is larger by [millis]. */
    public fun agedBy(millis: Long): LastOrder = copy(sinceMillis = sinceMillis + millis)

    public companion object {
        /** In place of the leader whose records are lost. */
        internal const val UNKNOWN_INSTANCE: String = ""

        /**
         * Returns the newest order that may have been given before [instance] takes over from
         * [predecessor], null if there is none.
         *
         * @param sinceMillis the minimum age of the predecessor's last order, which is used if it
         *   did not resign.
         */
        public fun beforeTakeover(
            predecessor: LeaderRecord?,
            instance: String,
            sinceMillis: Long = 0
        ): LastOrder? = when {
            predecessor == null -> null
            predecessor.isResigning || predecessor.instance == instance -> predecessor.lastOrder
            else -> LastOrder(predecessor.instance, sinceMillis)
        }

        /**
         * Returns how many milliseconds [instance] has to wait after [order], so that
         * [leaseMillis] lie between orders of two instances.
         */
        public fun waitMillis(order: LastOrder?, instance: String, leaseMillis: Long): Long =
            if (order == null || order.instance == instance) {
                0
            } else {
                (leaseMillis - order.sinceMillis).coerceAtLeast(0)
            }
    }
}
