/*
 * The log of decisions: one JSON line for each decision that touches a request or changes what this
 * process believes, with the inputs that decided it. The appender is bounded and never blocks. Each
 * decision is also counted, so the metrics are right when lines are dropped.
 */
package mustarddale.instance.serving

import io.micrometer.core.instrument.Metrics
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage

/** Writes one line for each decision. */
public object DecisionLog {
    private val logger = LogManager.getLogger("mustarddale.decision")

    /** Records [event] with its [fields]; fields without a value are left out. */
    public fun record(event: String, vararg fields: Pair<String, Any?>) {
        Metrics.counter("mustarddale.decisions", "event", event).increment()
        if (!logger.isInfoEnabled) return
        val message = StringMapMessage(fields.size + 1).with("event", event)
        fields.forEach { (name, value) -> if (value != null) message.with(name, value.toString()) }
        logger.info(message)
    }
}
