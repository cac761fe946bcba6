/*
 * The demand for models and adapters over all instances. It decays with time, so that the requests
 * of the last few seconds decide and a model that is no longer requested loses its copies.
 */
package mustarddale.serving.residency

import kotlin.math.exp
import mustarddale.serving.backend.ModelRef

/**
 * The demand for one model or adapter at one instance since its last report.
 *
 * @property requests the number of new requests.
 * @property tokens the output tokens of the new requests.
 * @property waiting the number of requests that wait for the model or adapter to be loaded.
 * @property completed the number of requests that engines have completed.
 * @property slotMillis the time for which the [completed] requests have taken a slot, in sum.
 */
public data class DemandSample(
    public val target: ModelRef,
    public val requests: Int,
    public val tokens: Double,
    public val waiting: Int,
    public val completed: Int = 0,
    public val slotMillis: Long = 0
)

/** The demand for the models of one service; not thread-safe. */
public class ModelDemand {
    private val models = HashMap<String, DemandCounters>()
    private val adapters = HashMap<ModelRef, DemandCounters>()
    private val waitingByInstance = HashMap<String, Map<ModelRef, Int>>()
    private val waitingByModel = HashMap<String, Int>()
    private var totalTokens = 0.0
    private val allModels = DemandCounters()
    private var decayedAtMillis = 0L

    /** Adds the [samples] of [instance]; its waiting requests replace those reported before. */
    public fun report(instance: String, samples: List<DemandSample>, nowMillis: Long) {
        decay(nowMillis)
        samples.forEach { sample ->
            totalTokens += sample.tokens
            count(allModels, sample, nowMillis)
            count(models.getOrPut(sample.target.model) { DemandCounters() }, sample, nowMillis)
            if (sample.target.adapter != null) {
                count(adapters.getOrPut(sample.target) { DemandCounters() }, sample, nowMillis)
            }
        }
        setWaiting(
            instance,
            samples.filter { it.waiting > 0 }.associate { it.target to it.waiting }
        )
    }

    /** Removes the waiting requests that [instance] has reported. */
    public fun removeWaiting(instance: String) {
        setWaiting(instance, emptyMap())
    }

    private fun setWaiting(instance: String, waiting: Map<ModelRef, Int>) {
        val before = waitingByInstance.put(instance, waiting).orEmpty()
        before.forEach { (wanted, count) -> waitingByModel.merge(wanted.model, -count, Int::plus) }
        waiting.forEach { (wanted, count) -> waitingByModel.merge(wanted.model, count, Int::plus) }
        waitingByModel.values.removeIf { it == 0 }
        if (waiting.isEmpty()) waitingByInstance.remove(instance)
    }

    /** Returns the number of requests that wait for [model], with or without an adapter. */
    public fun waitingFor(model: String): Int = waitingByModel[model] ?: 0

    /** Returns the adapters that requests wait for, each with the number of requests. */
    public fun waitingAdapters(): Map<ModelRef, Int> = waitingByInstance.values
        .flatMap { it.entries }
        .filter { it.key.adapter != null }
        .groupBy({ it.key }, { it.value })
        .mapValues { it.value.sum() }

    /** Returns the share of [model] in all recent tokens, from 0 to 1. */
    public fun share(model: String): Double =
        if (totalTokens <= 0) 0.0 else (models[model]?.tokens ?: 0.0) / totalTokens

    /** Returns the approximate number of requests per second for [model]. */
    public fun rate(model: String): Double = requestsPerSecond(models[model])

    /**
     * Returns how many slots the requests for [model] would take if all of them ran, by Little's
     * law from their rate and the mean time of a request; 0 until requests have been completed.
     */
    public fun neededSlots(model: String): Double =
        newestRate(model) * meanSlotMillis(model) / MILLIS_PER_SECOND

    /** Returns the requests per second for [model], following a rise within about two seconds. */
    private fun newestRate(model: String): Double {
        val counters = models[model] ?: return 0.0
        val risen = counters.newestRequests * MILLIS_PER_SECOND / NEWEST_DECAY_MILLIS
        return maxOf(risen, requestsPerSecond(counters))
    }

    private fun meanSlotMillis(model: String): Double {
        val known = models[model]?.takeIf { it.completed >= MIN_COMPLETED } ?: allModels
        return if (known.completed < MIN_COMPLETED) 0.0 else known.slotMillis / known.completed
    }

    /** Returns the approximate number of requests per second for [adapter]. */
    public fun adapterRate(adapter: ModelRef): Double = requestsPerSecond(adapters[adapter])

    /** The adapters that have been requested. */
    public val knownAdapters: Set<ModelRef> get() = adapters.keys

    /** Returns the time of the last request for [model], null if there was none. */
    public fun lastRequestedMillis(model: String): Long? = models[model]?.lastRequestedMillis

    /** Returns the time of the last request for [adapter], null if there was none. */
    public fun lastRequestedMillis(adapter: ModelRef): Long? =
        adapters[adapter]?.lastRequestedMillis

    private fun requestsPerSecond(counters: DemandCounters?): Double =
        (counters?.requests ?: 0.0) * MILLIS_PER_SECOND / REQUEST_DECAY_MILLIS

    private fun count(counters: DemandCounters, sample: DemandSample, nowMillis: Long) {
        counters.requests += sample.requests
        counters.newestRequests += sample.requests
        counters.tokens += sample.tokens
        counters.completed += sample.completed
        counters.slotMillis += sample.slotMillis
        if (sample.requests > 0 || sample.waiting > 0) counters.lastRequestedMillis = nowMillis
    }

    private fun decay(nowMillis: Long) {
        val elapsedMillis = (nowMillis - decayedAtMillis).coerceAtLeast(0)
        val requestFactor = exp(-elapsedMillis / REQUEST_DECAY_MILLIS)
        val newestFactor = exp(-elapsedMillis / NEWEST_DECAY_MILLIS)
        val tokenFactor = exp(-elapsedMillis / TOKEN_DECAY_MILLIS)
        decayedAtMillis = nowMillis
        (models.values + adapters.values + allModels).forEach {
            it.requests *= requestFactor
            it.newestRequests *= newestFactor
            it.tokens *= tokenFactor
            it.completed *= requestFactor
            it.slotMillis *= requestFactor
        }
        totalTokens *= tokenFactor
    }

    private class DemandCounters {
        var requests = 0.0
        var newestRequests = 0.0
        var tokens = 0.0
        var completed = 0.0
        var slotMillis = 0.0
        var lastRequestedMillis = 0L
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** With fewer recent requests, the mean over all models is the better estimate. */
        const val MIN_COMPLETED = 3.0

        /** A load takes about three seconds, so a rise has to be seen sooner than that. */
        const val NEWEST_DECAY_MILLIS = 2_000.0

        /** Covers rarely used models, which are requested every two or three seconds. */
        const val REQUEST_DECAY_MILLIS = 6_000.0

        /** Follows demand, which shifts to other models within four to six seconds. */
        const val TOKEN_DECAY_MILLIS = 3_000.0
    }
}
