/*
 * The orders for engine counts that the leader has to send: each count that differs from the last
 * one that the platform has taken, first those that add engines. An order without an answer may
 * take effect after newer ones, so the newest is sent once more when no earlier one can.
 */
package mustarddale.serving.scaling

import mustarddale.serving.usage.CallAnswer

/** The orders of one term; not thread-safe. */
public class EngineOrderBook {
    private val wanted = LinkedHashMap<Pair<String, String>, DesiredEngines>()
    private val taken = HashMap<Pair<String, String>, Int>()
    private val repeatAtMillis = HashMap<Pair<String, String>, Long>()

    /** Sets the counts that services should have. */
    public fun want(orders: List<DesiredEngines>) {
        wanted.clear()
        orders.associateByTo(wanted) { it.key }
        taken.keys.retainAll(wanted.keys)
        repeatAtMillis.keys.retainAll(wanted.keys)
    }

    /** Returns the orders to send at [nowMillis], the most urgent first. */
    public fun due(nowMillis: Long): List<DesiredEngines> = wanted.values
        .filter { isDue(it, nowMillis) }
        .sortedByDescending { order -> taken[order.key]?.let { order.desired - it } ?: 0 }

    private fun isDue(order: DesiredEngines, nowMillis: Long): Boolean =
        taken[order.key] != order.desired ||
            repeatAtMillis[order.key]?.let { nowMillis >= it } ?: false

    /** Records the [answer] to [order]. */
    public fun answered(order: DesiredEngines, answer: CallAnswer, nowMillis: Long) {
        when (answer) {
            CallAnswer.DONE, CallAnswer.REJECTED -> {
                taken[order.key] = order.desired
                if (nowMillis >= (repeatAtMillis[order.key] ?: Long.MAX_VALUE)) {
                    repeatAtMillis.remove(order.key)
                }
            }

            CallAnswer.UNKNOWN -> {
                taken.remove(order.key)
                repeatAtMillis[order.key] = nowMillis + LATE_EFFECT_MILLIS
            }

            CallAnswer.LIMITED, CallAnswer.FENCED -> Unit
        }
    }

    private val DesiredEngines.key: Pair<String, String> get() = service to domain

    private companion object {
        /** Calls without an answer took effect up to several seconds later. */
        const val LATE_EFFECT_MILLIS = 6_000L
    }
}
