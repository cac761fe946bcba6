/*
 * The rate-limited weight store: it serves so many loads at a time, and refuses those above its
 * rate with a time to come back.
 */
package mustarddale.standin

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** A stand-in for the weight store, which takes [loadMillis] for each load. */
public class WeightsStandIn(
    private val loadMillis: Long = 200,
    private val minIntervalMillis: Long = 500
) : StandIn() {
    private val lastLoadMillis = AtomicLong()
    private val active = AtomicInteger()

    /** The most loads that were under way at the same time. */
    public val maxConcurrentLoads: AtomicInteger = AtomicInteger()

    override fun configure(builder: ServerBuilder) {
        builder.service("/v1/weights/{artifact}", HttpService { _, _ -> load() })
    }

    private fun load(): HttpResponse {
        val now = System.currentTimeMillis()
        val last = lastLoadMillis.get()
        val isTooSoon = now - last < minIntervalMillis
        if (isTooSoon || !lastLoadMillis.compareAndSet(last, now)) {
            return plain(HttpStatus.TOO_MANY_REQUESTS)
        }
        maxConcurrentLoads.accumulateAndGet(active.incrementAndGet(), ::maxOf)
        return HttpResponse.delayed(
            { HttpResponse.of(HttpStatus.OK).also { active.decrementAndGet() } },
            Duration.ofMillis(loadMillis)
        )
    }
}
