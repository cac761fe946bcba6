/*
 * The decision log: one JSON line for each decision on a request and each change of this process's
 * state, with its inputs. The appender is bounded and never blocks. Each decision is also counted,
 * so that the metrics are exact when lines are left out.
 */
package mustarddale.instance.serving

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Metrics
import java.util.concurrent.ConcurrentHashMap
import mustarddale.time.SystemClock
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage

/** Writes one log line for each decision and counts it. */
public object DecisionLog {
    private val logger = LogManager.getLogger("mustarddale.decision")
    private val sampler = RequestLogSampler()

    private val counters = ConcurrentHashMap<String, Counter>()

    /** Records a change of state with its [fields]; fields that are null are omitted. */
    public fun record(event: String, vararg fields: Pair<String, Any?>) {
        count(event)
        if (logger.isInfoEnabled) write(event, null, fields)
    }

    /**
     * Records a decision on [request]. Under load, lines on successes are sampled by the request's
     * id, and lines on failures are limited to a rate.
     */
    public fun recordRequest(
        event: String,
        request: String?,
        isSuccess: Boolean,
        vararg fields: Pair<String, Any?>
    ) {
        if (shouldWriteRequest(event, request, isSuccess)) write(event, request, fields)
    }

    /** Like the other function, but computes the [fields] only for a line that is written. */
    internal inline fun recordRequest(
        event: String,
        request: String?,
        isSuccess: Boolean,
        fields: () -> Array<Pair<String, Any?>>
    ) {
        if (shouldWriteRequest(event, request, isSuccess)) write(event, request, fields())
    }

    /** Counts [event] and returns whether a line is to be written for it. */
    internal fun shouldWriteRequest(event: String, request: String?, isSuccess: Boolean): Boolean {
        count(event)
        if (!logger.isInfoEnabled) return false
        val nowMillis = SystemClock.monotonicMillis()
        val shouldWrite = sampler.shouldWrite(request, isSuccess, nowMillis)
        val skippedLines = sampler.takeSkippedLines(nowMillis)
        if (skippedLines > 0) {
            Metrics.counter("mustarddale.log.lines.left.out").increment(skippedLines.toDouble())
            write("lines_left_out", null, arrayOf("lines" to skippedLines))
        }
        return shouldWrite
    }

    // Looking a counter up in the registry builds its id with tags each time.
    private fun count(event: String) {
        val counter = counters[event] ?: counters.computeIfAbsent(event) {
            Metrics.counter("mustarddale.decisions", "event", it)
        }
        counter.increment()
    }

    internal fun write(event: String, request: String?, fields: Array<out Pair<String, Any?>>) {
        val message = StringMapMessage(fields.size + 2).with("event", event)
        if (request != null) message.with("request", request)
        fields.forEach { (name, value) -> if (value != null) message.with(name, value.toString()) }
        logger.info(message)
    }
}
