/*
 * The wall clock of the fleet: the median of the instances' clocks, so that one wrong clock, also
 * that of the leader, does not move the windows.
 */
package mustarddale.serving.usage

import kotlin.math.abs

/** Estimates the true time at the leader from the clocks in reports; not thread-safe. */
public class FleetClock {
    private val offsetsMillis = HashMap<String, Long>()

    /** Records that [instance]'s clock showed [theirMillis] when the own showed [ownMillis]. */
    public fun report(instance: String, theirMillis: Long, ownMillis: Long) {
        offsetsMillis[instance] = theirMillis - ownMillis
    }

    /** Forgets all instances but those of [instances]. */
    public fun retain(instances: Set<String>) {
        offsetsMillis.keys.retainAll(instances)
    }

    /** Returns the fleet's time when the own clock shows [ownMillis]. */
    public fun wallMillis(ownMillis: Long): Long {
        if (offsetsMillis.isEmpty()) return ownMillis
        val sorted = offsetsMillis.values.sorted()
        val middle = listOf(sorted[(sorted.size - 1) / 2], sorted[sorted.size / 2])
        val offsetMillis = middle.minBy { abs(it) }
        // A report's way takes milliseconds, and late reports must not slow the clock down.
        return if (abs(offsetMillis) <=
            MAX_REPORT_DELAY_MILLIS
        ) {
            ownMillis
        } else {
            ownMillis + offsetMillis
        }
    }

    private companion object {
        const val MAX_REPORT_DELAY_MILLIS = 500L
    }
}
