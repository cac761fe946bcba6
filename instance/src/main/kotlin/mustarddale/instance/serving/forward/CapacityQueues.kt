/*
 * Lets requests wait for room at full servers and releases them in the order of [WaitingRequests]:
 * one request for each place that appears. A released request takes its place, or has found that
 * there is none, before the next one is released, so that the instance does not flood the servers.
 * Everything runs on the event loop.
 */
package mustarddale.instance.serving.forward

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Metrics
import io.micrometer.core.instrument.Tag
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.ModelRef
import mustarddale.serving.overload.QueueDecision
import mustarddale.serving.overload.QueueEntry
import mustarddale.serving.overload.RefusalReason
import mustarddale.serving.overload.WaitingRequests
import mustarddale.time.Clock

/** The servers that requests wait for: those of [service] that hold [model]. */
internal data class CapacityKey(val service: String, val model: ModelRef?)

/** A request in a queue; [hasRoom] returns whether its servers may have room now. */
internal class CapacityWaiter(
    val key: CapacityKey,
    val entry: QueueEntry,
    val hasRoom: () -> Boolean
) {
    /** Completes with null when the request may try again, else with its refusal. */
    val verdict = CompletableDeferred<QueueDecision.Refuse?>()
    var isReleased = false
}

/** The requests of one instance that wait for room. */
internal class CapacityQueues(private val state: ServingState, private val clock: Clock) {
    private val waiting = WaitingRequests<CapacityKey>()
    private val waiters = HashMap<QueueEntry, CapacityWaiter>()
    private var releasedCount = 0
    private var ticker: Job? = null

    init {
        state.onModelsChanged = { release { true } }
    }

    /** Registers the queue lengths in [registry]. */
    fun registerMetrics(registry: MeterRegistry) {
        for (priority in 0..MAX_METRIC_PRIORITY) {
            val tags = listOf(Tag.of("priority", "$priority"))
            registry.gauge("mustarddale.queue.length", tags, waiting) {
                it.sizeOf(priority).toDouble()
            }
        }
    }

    /** Whether a new request of [priority] for [key] has to wait behind others. */
    fun holdsBack(key: CapacityKey, priority: Int): Boolean = waiting.holdsBack(key, priority)

    /**
     * Waits until [waiter] may try again; returns null then, else why it is refused.
     *
     * @param isBack whether it has waited before and found no room.
     */
    suspend fun await(waiter: CapacityWaiter, isBack: Boolean): QueueDecision.Refuse? {
        val nowMillis = clock.monotonicMillis()
        if (state.modelWaiters.isClosed) return closedRefusal()
        // What has become late during a pause of the process takes no place.
        refuseLate(nowMillis)
        if (isBack) {
            waiting.putBack(waiter.key, waiter.entry, nowMillis)
        } else {
            when (val decision = waiting.offer(waiter.key, waiter.entry, nowMillis)) {
                is QueueDecision.Refuse -> return decision.also { count(it.reason) }
                is QueueDecision.Wait -> decision.evicted?.let { evict(it, nowMillis) }
            }
        }
        waiters[waiter.entry] = waiter
        startTicker()
        try {
            return waiter.verdict.await()
        } finally {
            waiters.remove(waiter.entry)
            waiting.remove(waiter.entry)
            recordWait(waiter.entry)
        }
    }

    private fun evict(entry: QueueEntry, nowMillis: Long) {
        val waiter = waiters.remove(entry) ?: return
        refuse(waiter, waiting.refuse(waiter.key, entry, RefusalReason.EVICTED, nowMillis))
    }

    private fun refuse(waiter: CapacityWaiter, refusal: QueueDecision.Refuse) {
        count(refusal.reason)
        waiter.verdict.complete(refusal)
    }

    private fun refuseLate(nowMillis: Long) {
        waiting.removeLate(nowMillis).forEach { (entry, refusal) ->
            waiters.remove(entry)?.let { refuse(it, refusal) }
        }
    }

    /** Records that a request for [key] was sent, and charges [entry] to its account. */
    fun recordSent(key: CapacityKey, account: String, cost: Double, wasReleased: Boolean) {
        waiting.roomOf(key, clock.monotonicMillis()).recordSent()
        if (!wasReleased) waiting.charge(key, account, cost)
    }

    /** Records that a request for [key] has ended at [backend] after [tookMillis]. */
    fun recordEnded(key: CapacityKey, backend: Backend, tookMillis: Long) {
        waiting.roomOf(
            key,
            clock.monotonicMillis()
        ).recordEnded(tookMillis, clock.monotonicMillis())
        onRoom(backend, key)
    }

    /** Releases a request that [backend] may have room for; [key] is that of an ended one. */
    fun onRoom(backend: Backend, key: CapacityKey? = null) {
        if (waiters.isEmpty()) return
        release {
            it == key || it.service == backend.service &&
                (it.model == null || backend.holds(it.model))
        }
    }

    /** Ends the release of [waiter], which has taken its place or found none. */
    fun endRelease(waiter: CapacityWaiter) {
        if (!waiter.isReleased) return
        waiter.isReleased = false
        releasedCount--
        // There may be room for more than one.
        release { true }
    }

    private fun release(mayTry: (CapacityKey) -> Boolean) {
        if (releasedCount > 0 || waiters.isEmpty()) return
        val nowMillis = clock.monotonicMillis()
        refuseLate(nowMillis)
        val taken = waiting.take(nowMillis, mayTry) { waiters[it]?.hasRoom?.invoke() ?: false }
        val waiter = taken?.let { waiters.remove(it.entry) } ?: return
        waiter.isReleased = true
        releasedCount++
        waiter.verdict.complete(null)
    }

    /** Repeats the decisions while something waits, because loads also change without an event. */
    private suspend fun startTicker() {
        if (ticker?.isActive == true) return
        ticker = CoroutineScope(currentCoroutineContext().minusKey(Job)).launch {
            while (waiters.isNotEmpty()) {
                delay(TICK_MILLIS)
                if (state.modelWaiters.isClosed) refuseAll() else release { true }
            }
        }
    }

    private fun refuseAll() {
        waiters.values.toList().forEach { waiter ->
            waiting.remove(waiter.entry)
            refuse(waiter, closedRefusal())
        }
        waiters.clear()
    }

    private fun closedRefusal() =
        QueueDecision.Refuse(RefusalReason.CLOSED, OTHER_INSTANCE_RETRY_MILLIS)

    private fun count(reason: RefusalReason) {
        Metrics.counter("mustarddale.queue.refused", "reason", reason.name.lowercase()).increment()
    }

    private fun recordWait(entry: QueueEntry) {
        Metrics.timer("mustarddale.queue.wait", "priority", "${entry.priority}")
            .record(clock.monotonicMillis() - entry.sinceMillis, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** A tenth of the most urgent latency target. */
        const val TICK_MILLIS = 25L
        const val MAX_METRIC_PRIORITY = 9

        /** A retry on a new connection reaches another instance. */
        const val OTHER_INSTANCE_RETRY_MILLIS = 20L
    }
}
