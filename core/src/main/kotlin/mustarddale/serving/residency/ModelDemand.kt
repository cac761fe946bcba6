/*
 * The demand for models and adapters over the fleet, fading with time, so that a few seconds of
 * requests decide and a model that has fallen silent loses its copies.
 */
package mustarddale.serving.residency

import kotlin.math.exp
import mustarddale.serving.backend.ModelRef

/** Requests for one model or adapter that one instance saw since its last report. */
public data class DemandSample(
    public val target: ModelRef,
    public val requests: Int,
    public val tokens: Double,
    public val waiting: Int
)

/** The demand of one service's models; belongs to one thread. */
public class ModelDemand {
    private val models = HashMap<String, Figures>()
    private val adapters = HashMap<ModelRef, Figures>()
    private val waitingByInstance = HashMap<String, Map<ModelRef, Int>>()
    private var fadedAtMillis = 0L

    /** Takes in what [instance] saw. */
    public fun report(instance: String, samples: List<DemandSample>, nowMillis: Long) {
        fade(nowMillis)
        samples.forEach { sample ->
            count(models.getOrPut(sample.target.model) { Figures() }, sample, nowMillis)
            if (sample.target.adapter != null) {
                count(adapters.getOrPut(sample.target) { Figures() }, sample, nowMillis)
            }
        }
        waitingByInstance[instance] =
            samples.filter { it.waiting > 0 }.associate { it.target to it.waiting }
    }

    /** Forgets the waiting requests of [instance]. */
    public fun forget(instance: String) {
        waitingByInstance.remove(instance)
    }

    /** Returns how many requests wait for [model], with or without an adapter. */
    public fun waitingFor(model: String): Int = waitingByInstance.values.sumOf { waiting ->
        waiting.entries.sumOf { if (it.key.model == model) it.value else 0 }
    }

    /** Returns the adapters that requests wait for, with the number of requests. */
    public fun waitingAdapters(): Map<ModelRef, Int> = waitingByInstance.values
        .flatMap { it.entries }
        .filter { it.key.adapter != null }
        .groupBy({ it.key }, { it.value })
        .mapValues { it.value.sum() }

    /** Returns the part of all recent tokens that [model] has. */
    public fun share(model: String): Double {
        val total = models.values.sumOf { it.tokens }
        return if (total <= 0) 0.0 else (models[model]?.tokens ?: 0.0) / total
    }

    /** Returns about how many requests a second ask for [model]. */
    public fun rate(model: String): Double = perSecond(models[model])

    /** Returns about how many requests a second ask for the adapter [wanted]. */
    public fun adapterRate(wanted: ModelRef): Double = perSecond(adapters[wanted])

    /** Adapters that were asked for lately. */
    public val knownAdapters: Set<ModelRef> get() = adapters.keys

    /** Returns when [model] was last asked for, null if it never was. */
    public fun lastRequestedMillis(model: String): Long? = models[model]?.lastMillis

    /** Returns when the adapter [wanted] was last asked for, null if it never was. */
    public fun lastRequestedMillis(wanted: ModelRef): Long? = adapters[wanted]?.lastMillis

    private fun perSecond(figures: Figures?): Double =
        (figures?.requests ?: 0.0) * MILLIS_PER_SECOND / REQUEST_LIFETIME_MILLIS

    private fun count(figures: Figures, sample: DemandSample, nowMillis: Long) {
        figures.requests += sample.requests
        figures.tokens += sample.tokens
        if (sample.requests > 0 || sample.waiting > 0) figures.lastMillis = nowMillis
    }

    private fun fade(nowMillis: Long) {
        val elapsedMillis = (nowMillis - fadedAtMillis).coerceAtLeast(0)
        val requestFactor = exp(-elapsedMillis / REQUEST_LIFETIME_MILLIS)
        val tokenFactor = exp(-elapsedMillis / TOKEN_LIFETIME_MILLIS)
        fadedAtMillis = nowMillis
        (models.values + adapters.values).forEach {
            it.requests *= requestFactor
            it.tokens *= tokenFactor
        }
    }

    private class Figures {
        var requests = 0.0
        var tokens = 0.0
        var lastMillis = 0L
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Rare models are asked for every two or three seconds. */
        const val REQUEST_LIFETIME_MILLIS = 6_000.0

        /** Demand moves to other models within four to six seconds. */
        const val TOKEN_LIFETIME_MILLIS = 3_000.0
    }
}
