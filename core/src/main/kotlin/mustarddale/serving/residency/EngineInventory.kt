/*
 * The leader's view of the models and adapters that one engine holds. Each order carries the number
 * of orders that the engine had accepted when the leader decided, so the engine refuses an order
 * that arrives after a later one; the contents and that number are always updated together. Memory
 * counts as used from before an order is sent until a report shows that it is free.
 */
package mustarddale.serving.residency

import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.ModelRef
import mustarddale.serving.config.EngineSpec

/**
 * The models and adapters of [engine]; not thread-safe.
 *
 * @param lateOrders the unanswered orders to this and earlier runs of the engine.
 */
public class EngineInventory(
    public var engine: Backend,
    private val lateOrders: LateOrders = LateOrders()
) {
    private val adapters = HashMap<String, MutableSet<String>>()
    private val loadingAdapters = HashMap<ModelRef, Long>()
    private val loadedAtMillis = HashMap<String, Long>()
    private var modelChange: ModelChange? = null
    private var modelChangeSinceMillis = 0L
    private var orderCount: Long? = null
    private var isReportedBusy = false
    private var pendingOrder: EngineOrder? = null
    private var ignoreReportsBeforeMillis = Long.MIN_VALUE
    private var reportFailedAtMillis = Long.MIN_VALUE

    /** The time of the last report, [Long.MIN_VALUE] before the first one. */
    public var reportedAtMillis: Long = Long.MIN_VALUE
        private set

    /** The number of requests that run and wait at the engine, as last reported. */
    public var requestCount: Int = 0
        private set

    /** The models that the engine can load from its host memory. */
    public var hostCachedModels: Set<String> = engine.hostCachedModels
        private set

    /** The models that the engine can load from its own disk. */
    public var diskCachedModels: Set<String> = engine.diskCachedModels
        private set

    /** Whether [model] was loaded so recently that it has hardly been used yet. */
    public fun isRecentlyLoaded(model: String, nowMillis: Long): Boolean =
        nowMillis - (loadedAtMillis[model] ?: Long.MIN_VALUE / 2) < RECENT_LOAD_MILLIS

    /** The model for which memory is being freed, null if there is none. */
    public var reservedFor: String? = null

    /** The loaded models, without one that is being unloaded. */
    public val models: Set<String>
        get() = adapters.keys -
            setOfNotNull(modelChange?.takeIf { it.kind == OrderKind.UNLOAD }?.model)

    /** Whether [model] is loaded and not being unloaded. */
    public fun holdsModel(model: String): Boolean = model in adapters &&
        modelChange?.takeIf { it.kind == OrderKind.UNLOAD }?.model != model

    /** The model that is being loaded, null if none is. */
    public val loadingModel: String?
        get() = modelChange?.takeIf { it.kind == OrderKind.LOAD }?.model

    /** Whether the engine is loading or unloading a model, by order of any leader. */
    public val isChangingModels: Boolean get() = modelChange != null || isReportedBusy

    /** Whether the contents are known and an order on a model may be given. */
    public val mayOrderModel: Boolean
        get() = mayOrderAdapter && loadingAdapters.isEmpty()

    /** Whether the contents are known and an order on an adapter may be given. */
    public val mayOrderAdapter: Boolean
        get() = orderCount != null && pendingOrder == null && modelChange == null && !isReportedBusy

    /** Returns the loaded adapters of [model]. */
    public fun adaptersOf(model: String): Set<String> = adapters[model].orEmpty()

    /** Whether the adapter of [wanted] is loaded or being loaded. */
    public fun hasOrIsLoading(wanted: ModelRef): Boolean =
        wanted in loadingAdapters || wanted.adapter in adaptersOf(wanted.model)

    /** The number of used adapter slots, including adapters that are or may yet be loaded. */
    public val adapterCount: Int
        get() = adapters.values.sumOf { it.size } + loadingAdapters.size +
            lateOrders.possibleLoads(engine, orderCount).count { group ->
                group.any { it.adapter != null }
            }

    /** The number of adapters that are being loaded. */
    public val loadingAdapterCount: Int get() = loadingAdapters.size

    /** Returns the used memory in megabytes, including what is or may yet be loaded. */
    public fun usedMegabytes(spec: EngineSpec): Double {
        val loading = modelChange?.takeIf { it.kind == OrderKind.LOAD }
        val isLoadingUnknown = isReportedBusy && modelChange == null
        val loadingMegabytes = when {
            loading != null -> spec.megabytesOf(loading.model)
            isLoadingUnknown -> spec.maxModelMegabytes
            else -> 0.0
        }
        val loadedMegabytes = adapters.entries.sumOf { (model, names) ->
            spec.megabytesOf(model) + names.size * spec.adapterMegabytesOf(model)
        }
        val lateMegabytes = lateOrders.possibleLoads(engine, orderCount).sumOf { group ->
            group.maxOf {
                val isModel = it.adapter == null
                if (isModel) spec.megabytesOf(it.model) else spec.adapterMegabytesOf(it.model)
            }
        }
        return loadedMegabytes + loadingMegabytes + lateMegabytes +
            loadingAdapters.keys.sumOf { spec.adapterMegabytesOf(it.model) }
    }

    /** Returns the duration of a load of [model] on this engine in milliseconds. */
    public fun loadMillis(spec: EngineSpec, model: String): Long {
        val modelSpec = spec.modelOf(model) ?: return spec.maxStoreLoadMillis
        return when (model) {
            in hostCachedModels -> modelSpec.hostLoadMillis
            in diskCachedModels -> modelSpec.diskLoadMillis
            else -> modelSpec.storeLoadMillis
        }
    }

    /** Returns the expected end of the load of each model that is being or about to be loaded. */
    public fun expectedModels(spec: EngineSpec): Map<String, Long> {
        val expected = HashMap<String, Long>()
        loadingModel?.let { expected[it] = modelChangeSinceMillis + loadMillis(spec, it) }
        reservedFor?.takeIf { it in spec.models }?.let {
            expected[it] = modelChangeSinceMillis + UNLOAD_MILLIS + loadMillis(spec, it)
        }
        return expected
    }

    /** Processes a report that was requested at [requestedAtMillis]. */
    public fun report(report: EngineReport, requestedAtMillis: Long, nowMillis: Long) {
        requestCount = report.running + report.waiting
        lateOrders.removeExpired(nowMillis)
        val knownCount = orderCount
        if (pendingOrder != null || knownCount != null && report.orderCount < knownCount) return
        if (knownCount == null && requestedAtMillis < ignoreReportsBeforeMillis) return
        reportedAtMillis = nowMillis
        orderCount = report.orderCount
        hostCachedModels = report.hostCachedModels
        diskCachedModels = report.diskCachedModels
        isReportedBusy = report.isBusy
        loadingAdapters.keys.retainAll(report.loadingAdapters)
        report.loadingAdapters.forEach {
            loadingAdapters.putIfAbsent(it, nowMillis + ADAPTER_LOAD_MILLIS)
        }
        adapters.clear()
        report.models.forEach { (model, names) ->
            adapters[model] = names.toHashSet()
        }
        val expected = modelChange?.takeIf { it.kind == OrderKind.LOAD }?.model
        if (expected != null && expected in report.models) loadedAtMillis[expected] = nowMillis
        if (!report.isBusy) modelChange = null
    }

    /** Records that a request for a report has failed at [nowMillis]. */
    public fun reportFailed(nowMillis: Long) {
        ignoreReportsBeforeMillis = maxOf(ignoreReportsBeforeMillis, nowMillis)
        reportFailedAtMillis = nowMillis
    }

    /** Records that [order] is about to be sent. */
    public fun orderStarted(order: EngineOrder, nowMillis: Long) {
        pendingOrder = order
        lateOrders.recordSent(order, engine, nowMillis)
        if (order.target.adapter == null) {
            modelChangeSinceMillis = nowMillis
            modelChange = ModelChange(order.kind, order.target.model)
        } else if (order.kind == OrderKind.LOAD) {
            loadingAdapters[order.target] = Long.MAX_VALUE
        } else {
            adapters[order.target.model]?.remove(order.target.adapter)
        }
    }

    /** Processes the [answer] to the pending order. */
    public fun orderAnswered(answer: OrderAnswer, nowMillis: Long) {
        val order = pendingOrder ?: return
        pendingOrder = null
        if (answer != OrderAnswer.UNKNOWN) lateOrders.recordAnswered(order)
        when (answer) {
            OrderAnswer.ACCEPTED -> orderAccepted(order, nowMillis)

            OrderAnswer.DONE ->
                if (order.target.adapter != null && order.kind == OrderKind.UNLOAD) {
                    orderCount = order.orderCount + 1
                } else {
                    invalidateContents(nowMillis)
                }

            OrderAnswer.UNKNOWN -> {
                // The next order carries the same number, so the engine accepts only one of them.
                invalidateContents(nowMillis + UNKNOWN_ORDER_MILLIS)
            }

            OrderAnswer.CONFLICT, OrderAnswer.FENCED, OrderAnswer.REFUSED -> {
                revert(order)
                invalidateContents(nowMillis)
            }
        }
    }

    /** Marks adapters as loaded whose loads end by [nowMillis]; returns whether there are any. */
    public fun finishAdapterLoads(nowMillis: Long): Boolean {
        val completed = loadingAdapters.filterValues { it <= nowMillis }.keys.toList()
        completed.forEach {
            loadingAdapters.remove(it)
            adapters[it.model]?.add(checkNotNull(it.adapter))
        }
        return completed.isNotEmpty()
    }

    /** Returns when the next adapter load ends, null if none with a known end is in progress. */
    public fun nextAdapterReadyMillis(): Long? =
        loadingAdapters.values.filter { it < Long.MAX_VALUE }.minOrNull()

    /** Whether a report should be requested at [nowMillis]. */
    public fun needsReport(nowMillis: Long): Boolean {
        if (pendingOrder != null) return false
        val isUnsettled = orderCount == null || modelChange != null || isReportedBusy
        val intervalMillis =
            if (isUnsettled) BUSY_REPORT_INTERVAL_MILLIS else IDLE_REPORT_INTERVAL_MILLIS
        val lastMillis = maxOf(reportedAtMillis, reportFailedAtMillis)
        return lastMillis == Long.MIN_VALUE || nowMillis - lastMillis >= intervalMillis
    }

    private fun orderAccepted(order: EngineOrder, nowMillis: Long) {
        orderCount = order.orderCount + 1
        if (order.target.adapter == null) {
            isReportedBusy = true
        } else if (order.kind == OrderKind.LOAD) {
            loadingAdapters[order.target] = nowMillis + ADAPTER_LOAD_MILLIS
        }
    }

    private fun revert(order: EngineOrder) {
        if (order.target.adapter == null) {
            modelChange = null
        } else if (order.kind == OrderKind.LOAD) {
            loadingAdapters.remove(order.target)
        }
    }

    private fun invalidateContents(atMillis: Long) {
        orderCount = null
        ignoreReportsBeforeMillis = atMillis + REPORT_LAG_MILLIS
    }

    /** Returns the order count that the next order has to carry as its precondition. */
    public fun expectedOrderCount(): Long = checkNotNull(orderCount) {
        "the order count is unknown until the next report of the engine"
    }

    private data class ModelChange(val kind: OrderKind, val model: String)

    private companion object {
        /** A load takes up to 4.2 s, so a loaded model is not unloaded again at once. */
        const val RECENT_LOAD_MILLIS = 2_500L

        /** An adapter loads in 5 to 10 ms if few others do, plus a little for the network. */
        const val ADAPTER_LOAD_MILLIS = 14L

        /** An unload waits for the requests in progress, which take one to two seconds. */
        const val UNLOAD_MILLIS = 1_000L

        /** The assumed maximum age of a reported state, whose actual age is 100 ms or more. */
        const val REPORT_LAG_MILLIS = 250L

        /** After this time, an unanswered order that was not delayed has reached the engine. */
        const val UNKNOWN_ORDER_MILLIS = 200L

        /** Interval while the contents are unknown or change; a load takes 0.4 to 4.2 s. */
        const val BUSY_REPORT_INTERVAL_MILLIS = 150L

        /** Interval for idle engines; it is long, as reports cost as much as health checks. */
        const val IDLE_REPORT_INTERVAL_MILLIS = 2_000L
    }
}

/** Returns the size of [model], that of all memory if it is not known. */
internal fun EngineSpec.megabytesOf(model: String): Double =
    modelOf(model)?.sizeMegabytes ?: memoryMegabytes

internal fun EngineSpec.adapterMegabytesOf(model: String): Double =
    modelOf(model)?.adapterMegabytes ?: maxAdapterMegabytes

internal fun EngineSpec.storeLoadMillisOf(model: String): Long =
    modelOf(model)?.storeLoadMillis ?: maxStoreLoadMillis
