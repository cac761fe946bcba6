/*
 * The figures of one instance, on a page that Prometheus reads. `docs/OPERATIONS.md` says what each
 * of them tells and what to do about it.
 */
package mustarddale.instance.metrics

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.TimeUnit
import mustarddale.instance.operator.InstanceStatus

/** Counts requests, and shows [status]. */
public class InstanceMetrics(private val status: () -> InstanceStatus) {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val duration = Timer.builder("mustarddale.request")
        .description("time from a request's first byte to the end of its answer")
        .publishPercentiles(MEDIAN, MOST)
        .register(registry)

    init {
        gauge("mustarddale.ready", "1 if requests are served") { if (it.isReady) 1.0 else 0.0 }
        gauge("mustarddale.revision", "revision in force") { it.revision.toDouble() }
        gauge("mustarddale.log.age.millis", "age of the newest word from the log") {
            it.logAgeMillis.toDouble()
        }
        gauge("mustarddale.rate.slots", "rate slots held") { it.rateSlots.toDouble() }
        gauge("mustarddale.peers", "peers connected") { it.peers.size.toDouble() }
        gauge("mustarddale.servers.cold", "backend servers not known to be warm") { now ->
            now.servers.count { it.warmth != "WARM" && it.memoryBytes > 0 }.toDouble()
        }
    }

    /** Counts a request that was answered with [status] after [millis]. */
    public fun recordRequest(status: Int, millis: Long) {
        Counter.builder("mustarddale.requests")
            .description("requests by status of the answer")
            .tag("status", status.toString())
            .register(registry)
            .increment()
        duration.record(millis, TimeUnit.MILLISECONDS)
    }

    /** The page. */
    public fun scrape(): String = registry.scrape()

    private fun gauge(name: String, description: String, value: (InstanceStatus) -> Double) {
        Gauge.builder(name) { value(status()) }.description(description).register(registry)
    }

    private companion object {
        const val MEDIAN = 0.5
        const val MOST = 0.95
    }
}
