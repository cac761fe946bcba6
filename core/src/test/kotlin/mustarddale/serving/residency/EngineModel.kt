package mustarddale.serving.residency

import java.util.Random
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet
import mustarddale.serving.config.EngineSpec
import mustarddale.serving.config.ModelSpec

/** An engine as its protocol describes it: one order on a model at a time, checked by number. */
internal class EngineModel(private val spec: EngineSpec) {
    val models = HashMap<String, HashSet<String>>()
    private var orderCount = 0L
    private var busyUntilMillis = -1L
    private var change: EngineOrder? = null
    private val history = ArrayDeque<Pair<Long, EngineReport>>()

    val usedMegabytes: Double
        get() = (models.keys + setOfNotNull(change?.target?.model))
            .sumOf { spec.models.getValue(it).sizeMegabytes }

    val adapterCount: Int get() = models.values.sumOf { it.size }

    fun advance(nowMillis: Long) {
        val order = change
        if (order != null && nowMillis >= busyUntilMillis) {
            change = null
            if (order.kind == OrderKind.LOAD) {
                models[order.target.model] = HashSet()
            } else {
                models.remove(order.target.model)
            }
        }
        history.addLast(nowMillis to report())
        while (history.first().first < nowMillis - REPORT_LAG_MILLIS) history.removeFirst()
    }

    fun restart() {
        models.clear()
        change = null
        orderCount = 0
    }

    /** A report as of some time ago. */
    fun lateReport(): EngineReport = history.first().second

    fun give(order: EngineOrder, nowMillis: Long, random: Random): OrderAnswer {
        if (order.orderCount != orderCount || change != null) return OrderAnswer.CONFLICT
        val adapter = order.target.adapter
        if (adapter == null) {
            orderCount++
            change = order
            busyUntilMillis = nowMillis + 100 + random.nextInt(900)
            return OrderAnswer.ACCEPTED
        }
        val held = models[order.target.model] ?: return OrderAnswer.REFUSED
        orderCount++
        if (order.kind == OrderKind.LOAD) held.add(adapter) else held.remove(adapter)
        return if (order.kind == OrderKind.LOAD) OrderAnswer.ACCEPTED else OrderAnswer.DONE
    }

    private fun report() = EngineReport(
        models = models.mapValues { it.value.toImmutableSet() }.toImmutableMap(),
        loadingAdapters = persistentSetOf(),
        isBusy = change != null,
        orderCount = orderCount,
        running = 0,
        waiting = 0,
        hostCachedModels = persistentSetOf(),
        diskCachedModels = persistentSetOf()
    )

    companion object {
        private const val REPORT_LAG_MILLIS = 200L

        /** Room for two models and two adapters. */
        val spec = EngineSpec(
            slots = 10,
            kvCacheTokens = 1_000,
            memoryMegabytes = 210.0,
            hostCacheMegabytes = 0.0,
            diskCacheMegabytes = 0.0,
            adapterSlots = 2,
            loadsPerSecond = 2.0,
            models = (1..4).associate {
                "m$it" to ModelSpec("m$it", 100.0, 1_000, 1_000, 1_000, 1.0)
            }.toImmutableMap()
        )
    }
}
