/*
 * The leader's management of models and adapters: fetches engine reports, plans and sends orders,
 * and publishes to instances what engines hold. Runs on the event loop.
 */
package mustarddale.instance.serving.leader

import io.micrometer.core.instrument.Metrics
import io.micrometer.core.instrument.Timer
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.ModelRef
import mustarddale.serving.leadership.LastOrder
import mustarddale.serving.leadership.LeadershipTerm
import mustarddale.serving.residency.DemandSample
import mustarddale.serving.residency.EngineInventory
import mustarddale.serving.residency.EngineOrder
import mustarddale.serving.residency.OrderAnswer
import mustarddale.serving.residency.OrderKind
import mustarddale.time.Clock
import mustarddale.time.MinInterval

/**
 * Places models and adapters on engines during one term as leader.
 *
 * @param contents where the contents of engines are published for instances.
 * @param instance the name of this instance, under which it sends orders.
 * @param orderLeaseMillis the minimum time between orders of two successive leaders.
 * @param mayOrder whether this instance may send orders now.
 * @param onFenced called when an engine has seen a newer fencing token.
 */
internal class PlacementController(
    private val scope: CoroutineScope,
    private val leadership: LeadershipTerm,
    private val state: ServingState,
    private val engineClient: EngineControlClient,
    private val contents: EngineContentsRegistry,
    private val instance: String,
    orderLeaseMillis: Long,
    private val clock: Clock,
    private val mayOrder: () -> Boolean,
    private val onFenced: () -> Unit
) {
    private val mayOrderAtMillis =
        leadership.sinceMillis +
            LastOrder.waitMillis(leadership.lastForeignOrder, instance, orderLeaseMillis)
    private var lastOrderAtMillis: Long? = null
    private val placements = HashMap<String, ServicePlacement>()
    private val planInterval = MinInterval(PLAN_INTERVAL_MILLIS)
    private var isPlanScheduled = false

    /** Returns the newest order of this leader or an earlier one, null if there was none. */
    fun lastOrder(): LastOrder? {
        val nowMillis = clock.monotonicMillis()
        return lastOrderAtMillis?.let { LastOrder(instance, nowMillis - it) }
            ?: leadership.lastForeignOrder?.agedBy(nowMillis - leadership.sinceMillis)
    }

    /** Records the demand in an instance's report; plans at once if requests wait for a model. */
    fun handleReport(report: LeaderMessage.Report, nowMillis: Long) {
        var isUrgent = false
        report.demand.forEach { demand ->
            val samples = demand.models.map { it.toSample() }
            placementOf(demand.service)?.demand?.report(report.instance, samples, nowMillis)
            isUrgent = isUrgent || samples.any { it.waiting > 0 }
        }
        if (isUrgent) planSoon(nowMillis)
    }

    /** Fetches the engine reports that are due, and sends the next orders. */
    fun tick(nowMillis: Long) {
        val services = state.configuration?.services.orEmpty().filterValues { it.engine != null }
        placements.keys.retainAll(services.keys)
        services.keys.forEach { fetchDueReports(checkNotNull(placementOf(it))) }
        planOrders(nowMillis)
    }

    private fun placementOf(service: String): ServicePlacement? {
        val spec = state.configuration?.services?.get(service)?.engine ?: return null
        val previous = placements[service]
        if (previous != null && previous.configuredSpec == spec) return previous
        val placement = ServicePlacement(
            service,
            spec,
            previous,
            leadership.sinceMillis,
            clock.monotonicMillis()
        )
        placements[service] = placement
        return placement
    }

    private fun fetchDueReports(placement: ServicePlacement) {
        placement.updateBackends(
            state.directory.backends.filter { it.service == placement.service },
            clock.monotonicMillis()
        )
        placement.inventories.values.filter { it.needsReport(clock.monotonicMillis()) }
            .filter { placement.pendingReports.add(it.engine.id) }
            .forEach { scope.launch { fetchReport(placement, it) } }
    }

    private suspend fun fetchReport(placement: ServicePlacement, inventory: EngineInventory) {
        val sentMillis = clock.monotonicMillis()
        val report = engineClient.fetchReport(inventory.engine)
        placement.pendingReports.remove(inventory.engine.id)
        if (report == null) {
            state.paths.recordUnreached(inventory.engine)
            inventory.reportFailed(clock.monotonicMillis())
            return
        }
        state.paths.recordReached(inventory.engine)
        if (report.isLeaving) state.notices.markLeaving(setOf(inventory.engine.run))
        inventory.report(report, sentMillis, clock.monotonicMillis())
        publish(placement, inventory)
    }

    /** Plans now, or as soon as the minimum interval has passed since the last round. */
    private fun planSoon(nowMillis: Long) {
        val waitMillis = planInterval.waitMillis(nowMillis)
        if (waitMillis <= 0) {
            planOrders(nowMillis)
        } else if (!isPlanScheduled) {
            isPlanScheduled = true
            scope.launch {
                delay(waitMillis)
                isPlanScheduled = false
                planOrders(clock.monotonicMillis())
            }
        }
    }

    private fun planOrders(nowMillis: Long) {
        planInterval.recordRun(nowMillis)
        planRound(nowMillis)
        val tookMillis = clock.monotonicMillis() - nowMillis
        planTimer.record(tookMillis, TimeUnit.MILLISECONDS)
        if (tookMillis >= SLOW_PLAN_MILLIS) {
            DecisionLog.record(
                "plan_slow",
                "tookMillis" to tookMillis,
                "engines" to placements.values.sumOf { it.inventories.size },
                "models" to placements.values.sumOf { it.spec.models.size },
                "term" to leadership.term
            )
        }
    }

    private fun planRound(nowMillis: Long) {
        placements.values.forEach { placement ->
            placement.inventories.values.filter { it.finishAdapterLoads(nowMillis) }
                .forEach { publish(placement, it) }
        }
        if (nowMillis < mayOrderAtMillis || !mayOrder()) return
        placements.values.forEach { placement ->
            val usable = placement.inventories.values.filter { mayReceiveOrders(it.engine) }
            placement.adapterPlanner.plan(usable, placement.demand, nowMillis)
                .forEach { startOrder(placement, it) }
            val mayLoadFromStore = placement.loadLimiter.mayLoad(nowMillis)
            placement.modelPlanner.plan(usable, placement.demand, mayLoadFromStore, nowMillis)
                .forEach { startOrder(placement, it) }
        }
    }

    private fun mayReceiveOrders(engine: Backend): Boolean =
        !engine.isDraining && engine.failureDomain !in state.drainingDomains

    private fun startOrder(placement: ServicePlacement, order: EngineOrder) {
        val inventory = checkNotNull(placement.inventories[order.engine])
        val loadsModel = order.target.adapter == null && order.kind == OrderKind.LOAD
        if (loadsModel && placement.usesStore(inventory, order)) placement.loadLimiter.recordLoad()
        inventory.orderStarted(order, clock.monotonicMillis())
        publish(placement, inventory)
        scope.launch { sendOrder(placement, inventory, order) }
    }

    private suspend fun sendOrder(
        placement: ServicePlacement,
        inventory: EngineInventory,
        order: EngineOrder
    ) {
        val sentMillis = clock.monotonicMillis()
        if (!mayOrder()) {
            inventory.orderAnswered(OrderAnswer.REFUSED, sentMillis)
            return
        }
        lastOrderAtMillis = sentMillis
        val answer = engineClient.sendOrder(inventory.engine, order, instance, leadership.term)
        val nowMillis = clock.monotonicMillis()
        inventory.orderAnswered(answer, nowMillis)
        if (answer == OrderAnswer.FENCED) onFenced()
        DecisionLog.record(
            "order_given",
            "engine" to order.engine,
            "kind" to order.kind,
            "wanted" to order.target,
            "orderCount" to order.orderCount,
            "term" to leadership.term,
            "answer" to answer,
            "tookMillis" to nowMillis - sentMillis
        )
        publish(placement, inventory)
        planAfterAdapterLoad(placement, inventory, nowMillis)
    }

    private fun planAfterAdapterLoad(
        placement: ServicePlacement,
        inventory: EngineInventory,
        nowMillis: Long
    ) {
        val readyAtMillis = inventory.nextAdapterReadyMillis() ?: return
        scope.launch {
            delay((readyAtMillis - nowMillis).coerceAtLeast(1))
            if (inventory.finishAdapterLoads(clock.monotonicMillis())) publish(placement, inventory)
            planSoon(clock.monotonicMillis())
        }
    }

    private fun publish(placement: ServicePlacement, inventory: EngineInventory) {
        if (inventory.reportedAtMillis == Long.MIN_VALUE) return
        val models = inventory.models.associateWith { inventory.adaptersOf(it).sorted() }
        contents.update(inventory.engine.id, models, inventory.expectedModels(placement.spec))
    }

    private fun ModelSample.toSample() = DemandSample(
        ModelRef(model, adapter),
        requests,
        tokens,
        waiting,
        completed,
        slotMillis
    )

    private companion object {
        /** About the time of an adapter load; a round takes a few milliseconds. */
        const val PLAN_INTERVAL_MILLIS = 15L

        /** Rounds that take this long keep the event loop from answering the members in time. */
        const val SLOW_PLAN_MILLIS = 30L

        /** The duration of the leader's planning rounds. */
        val planTimer: Timer = Timer.builder("mustarddale.leader.plan")
            .register(Metrics.globalRegistry)
    }
}
