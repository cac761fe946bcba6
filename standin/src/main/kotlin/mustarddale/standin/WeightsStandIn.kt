/*
 * Stand-in for the rate-limited weight store, from which engines load artifacts. A load that starts
 * too soon after the last one is refused with 429, without a Retry-After header.
 */
package mustarddale.standin

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** A weight store that answers a load after [loadMillis], at most one per [minIntervalMillis]. */
public class WeightsStandIn(
    private val loadMillis: Long = 200,
    private val minIntervalMillis: Long = 500
) : StandIn() {
    private val lastStartMillis = AtomicLong()
    private val activeLoads = AtomicInteger()

    /** The largest number of loads that were in progress at the same time. */
    public val maxConcurrentLoads: AtomicInteger = AtomicInteger()

    override fun configure(builder: ServerBuilder) {
        builder.service("/v1/weights/{artifact}", HttpService { _, _ -> load() })
    }

    private fun load(): HttpResponse {
        val nowMillis = System.currentTimeMillis()
        val previousStartMillis = lastStartMillis.get()
        val isTooSoon = nowMillis - previousStartMillis < minIntervalMillis
        if (isTooSoon || !lastStartMillis.compareAndSet(previousStartMillis, nowMillis)) {
            return emptyResponse(HttpStatus.TOO_MANY_REQUESTS)
        }
        maxConcurrentLoads.accumulateAndGet(activeLoads.incrementAndGet(), ::maxOf)
        return HttpResponse.delayed(
            { HttpResponse.of(HttpStatus.OK).also { activeLoads.decrementAndGet() } },
            Duration.ofMillis(loadMillis)
        )
    }
}
