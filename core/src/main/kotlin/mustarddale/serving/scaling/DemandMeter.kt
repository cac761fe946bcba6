/*
 * How many slots of engines the requests of a service need, from what instances report.
 */
package mustarddale.serving.scaling

/** Measures the demand for one service at the leader; not thread-safe. */
public class DemandMeter(private val startMillis: Long) {
    private val newest = HashMap<String, Pair<Long, ServiceLoad>>()
    private val seconds = ArrayDeque<Second>()
    private val peaks = ArrayDeque<Second>()

    /** Records what [instance] reports. */
    public fun report(instance: String, load: ServiceLoad, nowMillis: Long) {
        newest[instance] = nowMillis to load
        val second = secondOf(seconds, nowMillis, RATE_SECONDS)
        second.begun += load.begun
        second.refused += load.refused
        val peak = secondOf(peaks, nowMillis, PEAK_SECONDS)
        peak.slots = maxOf(peak.slots, neededSlots(nowMillis))
    }

    private fun secondOf(list: ArrayDeque<Second>, nowMillis: Long, keptSeconds: Int): Second {
        val number = nowMillis / MILLIS_PER_SECOND
        while (list.isNotEmpty() && list.first().number <= number - keptSeconds) list.removeFirst()
        if (list.lastOrNull()?.number != number) list.addLast(Second(number))
        return list.last()
    }

    /** Returns how many slots are needed at [nowMillis]. */
    public fun neededSlots(nowMillis: Long): Double {
        newest.values.removeIf { (atMillis) -> nowMillis - atMillis > MAX_AGE_MILLIS }
        val running = newest.values.sumOf { it.second.running }
        val waiting = newest.values.sumOf { it.second.waiting }
        val begun = seconds.sumOf { it.begun }
        val refused = seconds.sumOf { it.refused }
        if (refused == 0) return (running + waiting).toDouble()
        // By Little's law, running is begun by the time that a request holds its slot. Refused
        // requests come again, so they are counted several times; the bound makes up for that.
        val unserved = running.toDouble() * refused / begun.coerceAtLeast(1)
        return waiting + running + unserved.coerceIn(1.0, running.coerceAtLeast(1).toDouble())
    }

    /** Returns the largest number of slots that were needed within the last minute. */
    public fun peakSlots(nowMillis: Long): Double {
        secondOf(peaks, nowMillis, PEAK_SECONDS)
        return maxOf(peaks.maxOf { it.slots }, neededSlots(nowMillis))
    }

    /** Whether the demand of the whole last minute is known. */
    public fun knowsLastMinute(nowMillis: Long): Boolean =
        nowMillis - startMillis >= PEAK_SECONDS * MILLIS_PER_SECOND

    private class Second(val number: Long) {
        var begun = 0
        var refused = 0
        var slots = 0.0
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val PEAK_SECONDS = 60

        /** Long enough that the rates of short requests do not jump. */
        const val RATE_SECONDS = 2

        /** Instances report four times per second. */
        const val MAX_AGE_MILLIS = 2_000L
    }
}
