/*
 * The log of decisions: one JSON line for each decision that touches a request or changes what this
 * process believes, with the inputs that decided it. The appender is bounded and never blocks. Each
 * decision is also counted, so the metrics are right when lines are left out.
 */
package mustarddale.instance.serving

import io.micrometer.core.instrument.Metrics
import mustarddale.time.SystemClock
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage

/** Writes one line for each decision. */
public object DecisionLog {
    private val logger = LogManager.getLogger("mustarddale.decision")
    private val volume = LogVolume()

    /** Records a change of belief with its [fields]; those without a value are left out. */
    public fun record(event: String, vararg fields: Pair<String, Any?>) {
        count(event)
        if (logger.isInfoEnabled) write(event, null, fields)
    }

    /**
     * Records a decision on [request]. While there are many, lines of requests that go well are
     * left out by the request's id, and others above a rate.
     */
    public fun recordRequest(
        event: String,
        request: String?,
        isGood: Boolean,
        vararg fields: Pair<String, Any?>
    ) {
        count(event)
        if (!logger.isInfoEnabled) return
        val nowMillis = SystemClock.monotonicMillis()
        val isWritten = volume.isWritten(request, isGood, nowMillis)
        val leftOut = volume.takeLeftOut(nowMillis)
        if (leftOut > 0) {
            Metrics.counter("mustarddale.log.lines.left.out").increment(leftOut.toDouble())
            write("lines_left_out", null, arrayOf("lines" to leftOut))
        }
        if (isWritten) write(event, request, fields)
    }

    private fun count(event: String) {
        Metrics.counter("mustarddale.decisions", "event", event).increment()
    }

    private fun write(event: String, request: String?, fields: Array<out Pair<String, Any?>>) {
        val message = StringMapMessage(fields.size + 2).with("event", event)
        if (request != null) message.with("request", request)
        fields.forEach { (name, value) -> if (value != null) message.with(name, value.toString()) }
        logger.info(message)
    }
}
