/*
 * The leader's part in models and adapters: asks engines for reports, plans, gives orders and tells
 * what engines hold. It runs on the event loop.
 */
package mustarddale.instance.serving.leader

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.WantedModel
import mustarddale.serving.leadership.LastOrder
import mustarddale.serving.residency.DemandSample
import mustarddale.serving.residency.EngineInventory
import mustarddale.serving.residency.EngineOrder
import mustarddale.serving.residency.OrderAnswer
import mustarddale.serving.residency.OrderKind
import mustarddale.time.Clock

/**
 * Places models and adapters in the leadership [won], while [mayOrder] says so.
 *
 * @param onFenced called when an engine has seen a newer fencing token.
 */
internal class PlacementController(
    private val scope: CoroutineScope,
    private val won: LeadershipTerm,
    private val state: ServingState,
    private val orders: EngineControlClient,
    private val board: EngineContentsRegistry,
    private val holder: String,
    orderLeaseMillis: Long,
    private val clock: Clock,
    private val mayOrder: () -> Boolean,
    private val onFenced: () -> Unit
) {
    private val mayOrderAtMillis =
        won.sinceMillis + LastOrder.waitMillis(won.orderBefore, holder, orderLeaseMillis)
    private var orderedAtMillis: Long? = null
    private val services = HashMap<String, ServicePlacement>()

    /** Returns the newest order, of this leader or of one before. */
    fun lastOrder(): LastOrder? {
        val nowMillis = clock.monotonicMillis()
        return orderedAtMillis?.let { LastOrder(holder, nowMillis - it) }
            ?: won.orderBefore?.after(nowMillis - won.sinceMillis)
    }

    /** Takes in the demand that an instance tells, and plans at once if requests wait. */
    fun report(report: LeaderMessage.Report, nowMillis: Long) {
        var isUrgent = false
        report.demand.forEach { demand ->
            val samples = demand.models.map { it.toSample() }
            planOf(demand.service)?.demand?.report(report.instance, samples, nowMillis)
            isUrgent = isUrgent || samples.any { it.waiting > 0 }
        }
        if (isUrgent) planOrders(nowMillis)
    }

    /** Asks engines whose contents are not known well enough, and gives the next orders. */
    fun tick(nowMillis: Long) {
        state.configuration?.services?.values?.filter { it.engine != null }?.forEach {
            refresh(checkNotNull(planOf(it.name)))
        }
        planOrders(nowMillis)
    }

    private fun planOf(service: String): ServicePlacement? {
        val spec = state.configuration?.services?.get(service)?.engine ?: return null
        val known = services[service]
        if (known != null && known.spec == spec) return known
        val plan = ServicePlacement(service, spec, known, won.sinceMillis, clock.monotonicMillis())
        services[service] = plan
        return plan
    }

    private fun refresh(plan: ServicePlacement) {
        plan.refresh(state.directory.backends.filter { it.service == plan.service })
        plan.inventories.values.filter { it.wantsReport(clock.monotonicMillis()) }
            .filter { plan.asking.add(it.engine.id) }
            .forEach { scope.launch { ask(plan, it) } }
    }

    private suspend fun ask(plan: ServicePlacement, inventory: EngineInventory) {
        val askedMillis = clock.monotonicMillis()
        val report = orders.fetchReport(inventory.engine)
        plan.asking.remove(inventory.engine.id)
        if (report == null) {
            inventory.unanswered(clock.monotonicMillis())
            return
        }
        inventory.report(report, askedMillis, clock.monotonicMillis())
        publish(plan, inventory)
    }

    private fun planOrders(nowMillis: Long) {
        services.values.forEach { plan ->
            plan.inventories.values.filter { it.settle(nowMillis) }.forEach { publish(plan, it) }
        }
        if (nowMillis < mayOrderAtMillis || !mayOrder()) return
        services.values.forEach { plan ->
            val usable = plan.inventories.values.filter { mayGetOrders(it.engine) }
            plan.adapterPlanner.plan(usable, plan.demand, nowMillis).forEach { give(plan, it) }
            val mayLoad = plan.pace.isOpen(nowMillis)
            plan.planner.plan(usable, plan.demand, mayLoad, nowMillis).forEach { give(plan, it) }
        }
    }

    private fun mayGetOrders(engine: Backend): Boolean =
        !engine.isDraining && engine.failureDomain !in state.closedDomains

    private fun give(plan: ServicePlacement, order: EngineOrder) {
        val inventory = checkNotNull(plan.inventories[order.engine])
        val isModelLoad = order.wanted.adapter == null && order.kind == OrderKind.LOAD
        if (isModelLoad && plan.isFromStore(inventory, order)) plan.pace.began()
        inventory.sending(order, clock.monotonicMillis())
        publish(plan, inventory)
        scope.launch { send(plan, inventory, order) }
    }

    private suspend fun send(
        plan: ServicePlacement,
        inventory: EngineInventory,
        order: EngineOrder
    ) {
        val sentMillis = clock.monotonicMillis()
        if (!mayOrder()) {
            inventory.answered(OrderAnswer.REFUSED, sentMillis)
            return
        }
        orderedAtMillis = sentMillis
        val answer = orders.sendOrder(inventory.engine, order, holder, won.term)
        val nowMillis = clock.monotonicMillis()
        inventory.answered(answer, nowMillis)
        if (answer == OrderAnswer.FENCED) onFenced()
        DecisionLog.record(
            "order_given",
            "engine" to order.engine,
            "kind" to order.kind,
            "wanted" to order.wanted,
            "orderCount" to order.orderCount,
            "term" to won.term,
            "answer" to answer,
            "tookMillis" to nowMillis - sentMillis
        )
        publish(plan, inventory)
        scheduleArrival(plan, inventory, nowMillis)
    }

    private fun scheduleArrival(
        plan: ServicePlacement,
        inventory: EngineInventory,
        nowMillis: Long
    ) {
        val arrivalMillis = inventory.nextArrivalMillis() ?: return
        scope.launch {
            delay((arrivalMillis - nowMillis).coerceAtLeast(1))
            if (inventory.settle(clock.monotonicMillis())) publish(plan, inventory)
            planOrders(clock.monotonicMillis())
        }
    }

    private fun publish(plan: ServicePlacement, inventory: EngineInventory) {
        if (inventory.reportedAtMillis == Long.MIN_VALUE) return
        val models = inventory.models.associateWith { inventory.adaptersOf(it).sorted() }
        board.put(inventory.engine.id, models, inventory.expected(plan.spec))
    }

    private fun ModelSample.toSample() =
        DemandSample(WantedModel(model, adapter), requests, tokens, waiting)
}
