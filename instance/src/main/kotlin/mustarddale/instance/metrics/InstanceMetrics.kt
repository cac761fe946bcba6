/*
 * The metrics of one instance, in the text format of Prometheus. `docs/OPERATIONS.md` explains each
 * metric and what to do about unusual values.
 */
package mustarddale.instance.metrics

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.TimeUnit
import mustarddale.instance.operator.InstanceStatus

/** Counts and times requests, and exposes [status] as gauges. */
public class InstanceMetrics(private val status: () -> InstanceStatus) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val requestDuration = Timer.builder("mustarddale.request")
        .description("time from the arrival of a request to the end of its response")
        .publishPercentiles(MEDIAN, PERCENTILE_95)
        .register(registry)

    init {
        gauge("mustarddale.ready", "1 if the instance is ready") { if (it.isReady) 1.0 else 0.0 }
        gauge("mustarddale.revision", "configuration revision in force") { it.revision.toDouble() }
        gauge("mustarddale.log.age.millis", "milliseconds since the log was read to its end") {
            it.logAgeMillis.toDouble()
        }
        gauge("mustarddale.rate.slots", "rate slots held") { it.rateSlots.toDouble() }
        gauge("mustarddale.peers", "connected peers") { it.peers.size.toDouble() }
        gauge("mustarddale.servers.cold", "engines not known to be warm") { current ->
            current.servers.count { it.warmth != "WARM" && it.memoryBytes > 0 }.toDouble()
        }
    }

    /** Records a request that ended with the HTTP status [httpStatus] after [durationMillis]. */
    public fun recordRequest(httpStatus: Int, durationMillis: Long) {
        Counter.builder("mustarddale.requests")
            .description("requests by HTTP status of the response")
            .tag("status", httpStatus.toString())
            .register(registry)
            .increment()
        requestDuration.record(durationMillis, TimeUnit.MILLISECONDS)
    }

    /** Returns all metrics in the text format of Prometheus. */
    public fun scrape(): String = registry.scrape()

    private fun gauge(name: String, description: String, value: (InstanceStatus) -> Double) {
        Gauge.builder(name) { value(status()) }.description(description).register(registry)
    }

    private companion object {
        const val MEDIAN = 0.5
        const val PERCENTILE_95 = 0.95
    }
}
