package mustarddale.instance.serving.state

import kotlinx.coroutines.CompletableDeferred
import mustarddale.serving.backend.ModelRef

/** A model of a service, or an adapter of that model, as requests ask for it. */
public data class ServiceModel(public val service: String, public val requestedModel: ModelRef)

/** Requests that wait until an engine holds their model; confined to one thread. */
public class ModelWaiters {
    private val waiters = HashMap<ServiceModel, MutableList<CompletableDeferred<Boolean>>>()
    private val deferredRetries = HashMap<ServiceModel, MutableList<Long>>()

    /** Whether the instance is shutting down, so that requests no longer wait. */
    public var isClosed: Boolean = false
        private set

    /** Returns how many requests wait for each model now or have been told to retry later. */
    public fun waitingCounts(nowMillis: Long): Map<ServiceModel, Int> {
        deferredRetries.values.forEach { times -> times.removeIf { it <= nowMillis } }
        deferredRetries.values.removeIf { it.isEmpty() }
        return (waiters.keys + deferredRetries.keys).associateWith {
            (waiters[it]?.size ?: 0) + (deferredRetries[it]?.size ?: 0)
        }
    }

    /** Records a refused request for [serviceModel] that is to be retried at [retryAtMillis]. */
    public fun recordDeferredRetry(serviceModel: ServiceModel, retryAtMillis: Long) {
        val times = deferredRetries.getOrPut(serviceModel) { mutableListOf() }
        if (times.size < MAX_DEFERRED_RETRIES) times.add(retryAtMillis)
    }

    /** Returns whether fewer than [limit] requests are waiting. */
    public fun hasCapacity(limit: Int): Boolean = waiters.values.sumOf { it.size } < limit

    /** Waits until [wake] finds [serviceModel] resident; false if the instance is shutting down. */
    public suspend fun await(serviceModel: ServiceModel): Boolean {
        if (isClosed) return false
        val waiter = CompletableDeferred<Boolean>()
        waiters.getOrPut(serviceModel) { mutableListOf() }.add(waiter)
        try {
            return waiter.await()
        } finally {
            waiters[serviceModel]?.let {
                it.remove(waiter)
                if (it.isEmpty()) waiters.remove(serviceModel)
            }
        }
    }

    /** Resumes the requests whose model [isResident]. */
    public fun wake(isResident: (ServiceModel) -> Boolean) {
        waiters.filterKeys(isResident).values.toList().forEach { list ->
            list.toList().forEach { it.complete(true) }
        }
    }

    /** Ends all waits, because the instance is shutting down. */
    public fun close() {
        isClosed = true
        waiters.values.flatten().forEach { it.complete(false) }
    }

    private companion object {
        /** More retries of a model do not change the order in which models are placed. */
        const val MAX_DEFERRED_RETRIES = 100
    }
}
