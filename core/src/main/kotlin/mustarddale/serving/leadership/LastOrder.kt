/*
 * Keeps the orders of two leaders apart. An engine that does not check fencing tokens could carry
 * out orders of both, so a leader waits after the last order that another instance may have given.
 */
package mustarddale.serving.leadership

import kotlinx.serialization.Serializable

/**
 * An order that [instance] gave, or may have given, [sinceMillis] before the record that tells it.
 */
@Serializable
public data class LastOrder(public val instance: String, public val sinceMillis: Long) {
    /** Returns the same order as it looks [millis] later. */
    public fun agedBy(millis: Long): LastOrder = copy(sinceMillis = sinceMillis + millis)

    public companion object {
        /**
         * Returns the newest order that another leader may have given when an instance takes over
         * from [predecessor]; null if there was none.
         *
         * @param sinceMillis how long ago, at least, the predecessor gave its last order, if it
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

        /** Returns how long [instance] has to wait after [order] before it gives orders itself. */
        public fun waitMillis(order: LastOrder?, instance: String, leaseMillis: Long): Long =
            if (order == null || order.instance == instance) {
                0
            } else {
                (leaseMillis - order.sinceMillis).coerceAtLeast(0)
            }
    }
}
