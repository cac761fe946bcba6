/*
 * Load orders without an answer. An engine may accept one of them seconds later, also in a later
 * run under the same ID: its number of accepted orders starts anew with each run, and reaches the
 * precondition of the order again.
 */
package mustarddale.serving.residency

import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.ModelRef

/** The unanswered load orders to the runs of one engine; not thread-safe. */
public class LateOrders {
    private class SentOrder(val order: EngineOrder, val run: Backend, val sentMillis: Long)

    private val sentOrders = ArrayList<SentOrder>()

    /** Whether no order can still be accepted. */
    public val isEmpty: Boolean get() = sentOrders.isEmpty()

    /** Records that [order] is about to be sent to [run]. */
    internal fun recordSent(order: EngineOrder, run: Backend, nowMillis: Long) {
        if (order.kind == OrderKind.LOAD) sentOrders.add(SentOrder(order, run, nowMillis))
    }

    /** Records that [order] has been accepted or refused, and won't be accepted again. */
    internal fun recordAnswered(order: EngineOrder) {
        sentOrders.removeIf { it.order === order }
    }

    /** Forgets the orders that are too old at [nowMillis] to be accepted. */
    public fun removeExpired(nowMillis: Long) {
        sentOrders.removeIf { nowMillis - it.sentMillis > MAX_LATE_MILLIS }
    }

    /**
     * Returns what [run] may still load by orders to earlier runs after its next order. Those with
     * the precondition of its next order can't be accepted then. Of the targets in one group it
     * loads at most one, as their orders have the same precondition.
     *
     * @param orderCount the number of orders that it has accepted, null if it is not known.
     */
    internal fun possibleLoads(run: Backend, orderCount: Long?): Collection<List<ModelRef>> {
        if (sentOrders.isEmpty()) return emptyList()
        return sentOrders
            .filter { !it.run.isSameRun(run) && it.order.orderCount > (orderCount ?: -1) }
            .groupBy({ it.order.orderCount }, { it.order.target })
            .values
    }

    private companion object {
        /** Orders have been carried out up to 12 s after they were sent. */
        const val MAX_LATE_MILLIS = 15_000L
    }
}
