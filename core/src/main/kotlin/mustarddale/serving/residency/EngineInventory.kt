/*
 * What the leader knows of one engine's contents. Each order names the number of orders that the
 * engine had accepted when the leader decided, so an order that lands late, behind another one, is
 * refused by the engine; contents and number always belong together. Memory counts from before an
 * order is sent until a report shows that it is free.
 */
package mustarddale.serving.residency

import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.ModelRef
import mustarddale.serving.config.EngineSpec

/** The contents of [engine]; belongs to one thread. */
public class EngineInventory(public var engine: Backend) {
    private val adapters = HashMap<String, MutableSet<String>>()
    private val loadingAdapters = HashMap<ModelRef, Long>()
    private val appearedAtMillis = HashMap<String, Long>()
    private var change: ModelChange? = null
    private var changeSinceMillis = 0L
    private var orderCount: Long? = null
    private var isReportedBusy = false
    private var openOrder: EngineOrder? = null
    private var reportNotBeforeMillis = Long.MIN_VALUE
    private var askedInVainAtMillis = Long.MIN_VALUE

    /** When the last report was taken in. */
    public var reportedAtMillis: Long = Long.MIN_VALUE
        private set

    /** Requests that run and wait at the engine, as it last told. */
    public var load: Int = 0
        private set

    /** Models that the engine can load from its host memory. */
    public var hostCachedModels: Set<String> = engine.hostCachedModels
        private set

    /** Models that the engine can load from its disk. */
    public var diskCachedModels: Set<String> = engine.diskCachedModels
        private set

    /** Whether [model] was loaded within the last seconds and has hardly been used yet. */
    public fun isNew(model: String, nowMillis: Long): Boolean =
        nowMillis - (appearedAtMillis[model] ?: Long.MIN_VALUE / 2) < NEW_MILLIS

    /** The model that is kept free room for, null if there is none. */
    public var reservedFor: String? = null

    /** The models that requests may be sent for. */
    public val models: Set<String>
        get() = adapters.keys - setOfNotNull(change?.takeIf { it.kind == OrderKind.UNLOAD }?.model)

    /** The model that is being loaded, null if none is. */
    public val loadingModel: String?
        get() = change?.takeIf { it.kind == OrderKind.LOAD }?.model

    /** Whether the engine loads or unloads a model, by an order of this leader or another. */
    public val isChangingModels: Boolean get() = change != null || isReportedBusy

    /** Whether the contents are known and an order on a model may be given. */
    public val mayOrderModel: Boolean
        get() = mayOrderAdapter && loadingAdapters.isEmpty()

    /** Whether the contents are known and an order on an adapter may be given. */
    public val mayOrderAdapter: Boolean
        get() = orderCount != null && openOrder == null && change == null && !isReportedBusy

    /** Returns the adapters of [model] that are there. */
    public fun adaptersOf(model: String): Set<String> = adapters[model].orEmpty()

    /** Whether the adapter is there or on its way. */
    public fun hasOrAwaits(wanted: ModelRef): Boolean =
        wanted in loadingAdapters || wanted.adapter in adaptersOf(wanted.model)

    /** The number of adapter places taken, with those on their way. */
    public val adapterCount: Int get() = adapters.values.sumOf { it.size } + loadingAdapters.size

    /** The number of adapters on their way. */
    public val comingCount: Int get() = loadingAdapters.size

    /** Returns the memory taken, in megabytes, with what is on its way. */
    public fun usedMegabytes(spec: EngineSpec): Double {
        val loading = change?.takeIf { it.kind == OrderKind.LOAD }
        val unknownLoad = isReportedBusy && change == null
        val loadingSize = when {
            loading != null -> spec.sizeOf(loading.model)
            unknownLoad -> spec.models.values.maxOfOrNull { it.sizeMegabytes } ?: 0.0
            else -> 0.0
        }
        val held = adapters.entries.sumOf { (model, names) ->
            spec.sizeOf(model) + names.size * spec.adapterSizeOf(model)
        }
        return held + loadingSize + loadingAdapters.keys.sumOf { spec.adapterSizeOf(it.model) }
    }

    /** Returns how long a load of [model] takes here, in milliseconds. */
    public fun loadMillis(spec: EngineSpec, model: String): Long {
        val known = spec.models.getValue(model)
        return when (model) {
            in hostCachedModels -> known.hostLoadMillis
            in diskCachedModels -> known.diskLoadMillis
            else -> known.storeLoadMillis
        }
    }

    /** Returns the models that are on their way and when each should be there. */
    public fun expectedModels(spec: EngineSpec): Map<String, Long> {
        val expected = HashMap<String, Long>()
        loadingModel?.let { expected[it] = changeSinceMillis + loadMillis(spec, it) }
        reservedFor?.takeIf { it in spec.models }?.let {
            expected[it] = changeSinceMillis + UNLOAD_MILLIS + loadMillis(spec, it)
        }
        return expected
    }

    /** Takes in a report that was asked for at [askedMillis]. */
    public fun report(report: EngineReport, askedMillis: Long, nowMillis: Long) {
        load = report.running + report.waiting
        val known = orderCount
        if (openOrder != null || known != null && report.orderCount < known) return
        if (known == null && askedMillis < reportNotBeforeMillis) return
        reportedAtMillis = nowMillis
        orderCount = report.orderCount
        hostCachedModels = report.hostCachedModels
        diskCachedModels = report.diskCachedModels
        isReportedBusy = report.isBusy
        loadingAdapters.keys.retainAll(report.loadingAdapters)
        report.loadingAdapters.forEach {
            loadingAdapters.putIfAbsent(
                it,
                nowMillis + ADAPTER_LOAD_MILLIS
            )
        }
        adapters.clear()
        report.models.forEach { (model, names) -> adapters[model] = names.toHashSet() }
        val loaded = change?.takeIf { it.kind == OrderKind.LOAD }?.model
        if (loaded != null && loaded in report.models) appearedAtMillis[loaded] = nowMillis
        if (!report.isBusy) change = null
    }

    /** Notes that the engine gave no report by [nowMillis]. */
    public fun reportFailed(nowMillis: Long) {
        reportNotBeforeMillis = maxOf(reportNotBeforeMillis, nowMillis)
        askedInVainAtMillis = nowMillis
    }

    /** Notes that [order] is about to be sent. */
    public fun orderStarted(order: EngineOrder, nowMillis: Long) {
        openOrder = order
        if (order.target.adapter == null) {
            changeSinceMillis = nowMillis
            change = ModelChange(order.kind, order.target.model)
        } else if (order.kind == OrderKind.LOAD) {
            loadingAdapters[order.target] = Long.MAX_VALUE
        } else {
            adapters[order.target.model]?.remove(order.target.adapter)
        }
    }

    /** Takes in the [answer] to the open order. */
    public fun orderAnswered(answer: OrderAnswer, nowMillis: Long) {
        val order = openOrder ?: return
        openOrder = null
        when (answer) {
            OrderAnswer.ACCEPTED -> accepted(order, nowMillis)

            OrderAnswer.DONE -> if (order.target.adapter != null &&
                order.kind == OrderKind.UNLOAD
            ) {
                orderCount = order.orderCount + 1
            } else {
                forgetCount(nowMillis)
            }

            OrderAnswer.UNKNOWN -> {
                // The next order carries the same number: only one of the two can be accepted.
                forgetCount(nowMillis + UNKNOWN_SETTLE_MILLIS)
            }

            OrderAnswer.CONFLICT, OrderAnswer.FENCED, OrderAnswer.REFUSED -> {
                undo(order)
                forgetCount(nowMillis)
            }
        }
    }

    /** Moves adapters that have arrived by [nowMillis] to those that are there. */
    public fun completeAdapterLoads(nowMillis: Long): Boolean {
        val arrived = loadingAdapters.filterValues { it <= nowMillis }.keys.toList()
        arrived.forEach {
            loadingAdapters.remove(it)
            adapters[it.model]?.add(checkNotNull(it.adapter))
        }
        return arrived.isNotEmpty()
    }

    /** Returns when the next adapter arrives, null if none is on its way. */
    public fun nextAdapterReadyMillis(): Long? = loadingAdapters.values.filter {
        it < Long.MAX_VALUE
    }.minOrNull()

    /** Whether the engine should be asked for a report now. */
    public fun needsReport(nowMillis: Long): Boolean {
        if (openOrder != null) return false
        val isSettling = orderCount == null || change != null || isReportedBusy
        val interval = if (isSettling) SETTLING_REPORT_MILLIS else IDLE_REPORT_MILLIS
        val lastMillis = maxOf(reportedAtMillis, askedInVainAtMillis)
        return lastMillis == Long.MIN_VALUE || nowMillis - lastMillis >= interval
    }

    private fun accepted(order: EngineOrder, nowMillis: Long) {
        orderCount = order.orderCount + 1
        if (order.target.adapter == null) {
            isReportedBusy = true
        } else if (order.kind == OrderKind.LOAD) {
            loadingAdapters[order.target] = nowMillis + ADAPTER_LOAD_MILLIS
        }
    }

    private fun undo(order: EngineOrder) {
        if (order.target.adapter == null) {
            change = null
        } else if (order.kind == OrderKind.LOAD) {
            loadingAdapters.remove(order.target)
        }
    }

    private fun forgetCount(reportNotBefore: Long) {
        orderCount = null
        reportNotBeforeMillis = reportNotBefore + REPORT_LAG_MILLIS
    }

    /** The number of orders that the next order has to name. */
    public fun expectedOrderCount(): Long = checkNotNull(orderCount) { "contents are not known" }

    private data class ModelChange(val kind: OrderKind, val model: String)

    private companion object {
        /** A load takes up to 4.2 s, so its model is kept for a while. */
        const val NEW_MILLIS = 2_500L

        /** Adapters take 5 to 10 ms when few are on their way, and a little for the network. */
        const val ADAPTER_LOAD_MILLIS = 14L

        /** An unload waits for the requests under way, which last a second or two. */
        const val UNLOAD_MILLIS = 1_000L

        /** Engines tell figures that are 100 ms old and more. */
        const val REPORT_LAG_MILLIS = 250L

        /** An order without an answer that is carried out at once shows by then. */
        const val UNKNOWN_SETTLE_MILLIS = 200L

        /** While a load of 0.4 to 4.2 s is awaited. */
        const val SETTLING_REPORT_MILLIS = 150L

        /** Reports are priced like health checks, so idle engines are asked rarely. */
        const val IDLE_REPORT_MILLIS = 2_000L
    }
}

internal fun EngineSpec.sizeOf(model: String): Double =
    models[model]?.sizeMegabytes ?: models.values.maxOfOrNull { it.sizeMegabytes } ?: 0.0

internal fun EngineSpec.adapterSizeOf(model: String): Double =
    models[model]?.adapterMegabytes ?: models.values.maxOfOrNull { it.adapterMegabytes } ?: 0.0
