/*
 * The work of the leader: grants shares of the accounts' rates and orders models and adapters onto
 * engines. All of it can be rebuilt from the instances' reports and the engines', so a new leader
 * needs nothing but the last leadership record. It runs on the event loop.
 */
package mustarddale.instance.serving.leader

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.WantedModel
import mustarddale.serving.leadership.LastOrder
import mustarddale.serving.leadership.LeaderRecord
import mustarddale.serving.quota.AccountQuota
import mustarddale.serving.quota.ShareGrant
import mustarddale.serving.quota.ShareHolder
import mustarddale.serving.quota.ShareLedger
import mustarddale.serving.quota.ShareReport
import mustarddale.serving.residency.DemandSample
import mustarddale.serving.residency.EngineInventory
import mustarddale.serving.residency.EngineOrder
import mustarddale.serving.residency.OrderAnswer
import mustarddale.serving.residency.OrderKind
import mustarddale.time.Clock

/** Leads while [leadership] says so. */
public class LeaderDuty(
    private val scope: CoroutineScope,
    private val state: ServingState,
    private val leadership: ElectionDuty,
    private val orders: EngineOrders,
    private val holder: String,
    private val orderLeaseMillis: Long,
    private val clock: Clock
) {
    private var newest: Leadership? = null

    init {
        leadership.onWon = { begin(it) }
        leadership.describe = ::describe
        leadership.onRecorded = { newest?.recordedHolders = it.shareHolders }
    }

    /** Counts changes of engines' contents; grows with each. */
    public val contentsVersion: Long get() = newest?.contentsVersion ?: 0

    /** Called when engines' contents have changed, or an instance has its first shares. */
    public var onContentsChanged: () -> Unit = {}

    /** Takes in a report; returns false if this instance does not lead. */
    public fun report(report: LeaderMessage.Report): Boolean {
        val current = current() ?: return false
        current.report(report)
        return true
    }

    /**
     * Returns what to tell [instance], with what has changed at engines since [seenVersion]; null
     * if this instance does not lead or has not heard from [instance].
     */
    public fun stateFor(instance: String, answers: Long, seenVersion: Long): LeaderMessage.State? =
        current()?.stateFor(instance, answers, seenVersion)

    /** Takes tokens out of the pool; null if this instance does not lead. */
    public fun lend(wanted: LeaderMessage.TokensWanted): LeaderMessage.TokensGiven? =
        current()?.lend(wanted)

    private fun current(): Leadership? {
        val term = leadership.ownTerm()
        val known = newest ?: return null
        if (known.term == term) return known
        known.ended()
        return null
    }

    private fun begin(won: WonTerm) {
        newest?.job?.cancel()
        newest = Leadership(won).also { it.start() }
    }

    private fun describe(record: LeaderRecord, before: LeaderRecord?): LeaderRecord {
        val current = current()
        return record.copy(
            lastOrder = if (current == null) {
                LastOrder.before(before, record.instance)
            } else {
                current.lastOrder()
            },
            shareHolders = current?.holders() ?: before?.shareHolders.orEmpty()
        )
    }

    private inner class Leadership(won: WonTerm) {
        val term = won.term
        private val orderBefore = won.orderBefore
        private val mayOrderAtMillis =
            won.sinceMillis + LastOrder.waitMillis(orderBefore, holder, orderLeaseMillis)
        private var orderedAtMillis: Long? = null
        private val startMillis = won.sinceMillis
        var recordedHolders: List<ShareHolder> = won.predecessor?.shareHolders.orEmpty()
        var contentsVersion = 0L
            private set
        lateinit var job: Job
            private set

        private var pool = AccountQuota { state.extraQuotaTokens }
        private val ledger =
            ShareLedger(recordedHolders, GRANTED_PART, SHARE_LEASE_MILLIS, won.sinceMillis)
        private val services = HashMap<String, ServicePlan>()
        private val versions = HashMap<String, Long>()
        private val contents = HashMap<String, KnownContents>()
        private var grants = emptyMap<String, ShareGrant>()
        private var grantedAtMillis = 0L
        private var hasNewHolder = false

        fun start() {
            job = scope.launch {
                while (true) {
                    if (current() === this@Leadership) tick()
                    delay(TICK_MILLIS)
                }
            }
        }

        /** Returns the newest order, of this leader or of one before. */
        fun lastOrder(): LastOrder? {
            val nowMillis = clock.monotonicMillis()
            return orderedAtMillis?.let { LastOrder(holder, nowMillis - it) }
                ?: orderBefore?.after(nowMillis - startMillis)
        }

        /** Returns the holders for a record that is about to be sent; it may or may not land. */
        fun holders(): List<ShareHolder> {
            val next = ledger.holders(clock.monotonicMillis())
            val before = recordedHolders.associateBy { it.instance }
            recordedHolders = next.mapNotNull { holder ->
                before[holder.instance]?.let { holder.atMost(it) }
            }
            return next
        }

        fun report(report: LeaderMessage.Report) {
            val nowMillis = clock.monotonicMillis()
            if (ledger.report(shareReport(report), nowMillis)) hasNewHolder = true
            var isUrgent = false
            report.demand.forEach { demand ->
                val samples = demand.models.map { it.toSample() }
                planOf(demand.service)?.demand?.report(report.instance, samples, nowMillis)
                isUrgent = isUrgent || samples.any { it.waiting > 0 }
            }
            if (isUrgent) planOrders(nowMillis)
        }

        fun lend(wanted: LeaderMessage.TokensWanted): LeaderMessage.TokensGiven {
            val nowMillis = clock.monotonicMillis()
            if (nowMillis - grantedAtMillis > MAX_GRANT_GAP_MILLIS) grant(nowMillis)
            val account = state.configuration?.accounts?.get(wanted.account)
            val waitMillis = when {
                account == null -> UNKNOWN_ACCOUNT_WAIT_MILLIS
                pool.tryTake(account, wanted.tokens, nowMillis) -> 0
                else -> pool.waitMillis(account, wanted.tokens, nowMillis).coerceAtLeast(1)
            }
            return LeaderMessage.TokensGiven(wanted.number, waitMillis)
        }

        /** Whoever asks is told that this instance does not lead, and may stop to rely on it. */
        fun ended() {
            ledger.leaderEnded(clock.monotonicMillis())
            grantedAtMillis = 0L
        }

        private fun shareReport(report: LeaderMessage.Report) = ShareReport(
            report.instance,
            report.run,
            if (report.term == term) report.confirmedRevision else 0,
            report.shares,
            report.wantedTokens,
            if (report.term == term) report.heardMillis else null
        )

        fun stateFor(instance: String, answers: Long, seenVersion: Long): LeaderMessage.State {
            val grant = grants[instance]
            return LeaderMessage.State(
                term = term,
                answers = answers,
                sentMillis = clock.monotonicMillis(),
                revision = grant?.revision ?: 0,
                shares = grant?.shares.orEmpty(),
                shareTotal = GRANTED_PART,
                shareLeaseMillis = SHARE_LEASE_MILLIS,
                instances = ledger.holderCount,
                engines = contents.filterKeys { (versions[it] ?: 0) > seenVersion }
                    .map { (engine, known) -> known.toMessage(engine, clock.monotonicMillis()) }
            )
        }

        private fun tick() {
            val nowMillis = clock.monotonicMillis()
            if (hasNewHolder || nowMillis - grantedAtMillis >= GRANT_MILLIS) grant(nowMillis)
            state.configuration?.services?.values?.filter { it.engine != null }?.forEach {
                refresh(checkNotNull(planOf(it.name)))
            }
            planOrders(nowMillis)
        }

        private fun grant(nowMillis: Long) {
            if (nowMillis - grantedAtMillis > MAX_GRANT_GAP_MILLIS) {
                // This instance was paused: what the pool gathered may have been used by others.
                pool = AccountQuota { state.extraQuotaTokens }
            }
            grantedAtMillis = nowMillis
            val accounts = state.configuration?.accounts?.values.orEmpty()
            val names = accounts.map { it.name }
            grants = ledger.grant(names, recordedHolders, nowMillis)
            val lendable = names.associateWith { ledger.lendablePart(it, nowMillis) }
            pool.setShares(lendable, accounts, nowMillis)
            if (hasNewHolder) {
                hasNewHolder = false
                onContentsChanged()
            }
        }

        private fun planOf(service: String): ServicePlan? {
            val spec = state.configuration?.services?.get(service)?.engine ?: return null
            val known = services[service]
            if (known != null && known.spec == spec) return known
            val plan = ServicePlan(service, spec, known, startMillis, clock.monotonicMillis())
            services[service] = plan
            return plan
        }

        private fun refresh(plan: ServicePlan) {
            val backends = state.directory.backends.filter { it.service == plan.service }
            plan.inventories.keys.retainAll(backends.map { it.id }.toSet())
            backends.forEach { backend ->
                val inventory = plan.inventories[backend.id]
                if (inventory == null || !inventory.engine.isSameRun(backend)) {
                    plan.inventories[backend.id] = EngineInventory(backend)
                } else {
                    inventory.engine = backend
                }
            }
            plan.inventories.values.filter { it.wantsReport(clock.monotonicMillis()) }
                .filter { plan.asking.add(it.engine.id) }
                .forEach { scope.launch { ask(plan, it) } }
        }

        private suspend fun ask(plan: ServicePlan, inventory: EngineInventory) {
            val askedMillis = clock.monotonicMillis()
            val report = orders.report(inventory.engine)
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
                plan.inventories.values.filter { it.settle(nowMillis) }
                    .forEach { publish(plan, it) }
            }
            if (nowMillis < mayOrderAtMillis || !leadership.mayOrder()) return
            services.values.forEach { plan ->
                val usable = plan.inventories.values.filter { mayGetOrders(it.engine) }
                plan.adapterPlanner.plan(usable, plan.demand, nowMillis).forEach { give(plan, it) }
                val mayLoad = plan.pace.isOpen(nowMillis)
                plan.planner.plan(usable, plan.demand, mayLoad, nowMillis).forEach {
                    give(plan, it)
                }
            }
        }

        private fun mayGetOrders(engine: Backend): Boolean =
            !engine.isDraining && engine.failureDomain !in state.closedDomains

        private fun give(plan: ServicePlan, order: EngineOrder) {
            val inventory = checkNotNull(plan.inventories[order.engine])
            val isModelLoad = order.wanted.adapter == null && order.kind == OrderKind.LOAD
            if (isModelLoad && plan.isFromStore(inventory, order)) plan.pace.began()
            inventory.sending(order, clock.monotonicMillis())
            publish(plan, inventory)
            scope.launch { send(plan, inventory, order) }
        }

        private suspend fun send(
            plan: ServicePlan,
            inventory: EngineInventory,
            order: EngineOrder
        ) {
            val sentMillis = clock.monotonicMillis()
            if (current() !== this || !leadership.mayOrder()) {
                inventory.answered(OrderAnswer.REFUSED, sentMillis)
                return
            }
            orderedAtMillis = sentMillis
            val answer = orders.give(inventory.engine, order, holder, term)
            val nowMillis = clock.monotonicMillis()
            inventory.answered(answer, nowMillis)
            if (answer == OrderAnswer.FENCED) leadership.fenced()
            DecisionLog.record(
                "order_given",
                "engine" to order.engine,
                "kind" to order.kind,
                "wanted" to order.wanted,
                "orderCount" to order.orderCount,
                "term" to term,
                "answer" to answer,
                "tookMillis" to nowMillis - sentMillis
            )
            publish(plan, inventory)
            scheduleArrival(plan, inventory, nowMillis)
        }

        private fun scheduleArrival(
            plan: ServicePlan,
            inventory: EngineInventory,
            nowMillis: Long
        ) {
            val arrivalMillis = inventory.nextArrivalMillis() ?: return
            scope.launch {
                delay((arrivalMillis - nowMillis).coerceAtLeast(1))
                if (inventory.settle(clock.monotonicMillis())) publish(plan, inventory)
                if (current() === this@Leadership) planOrders(clock.monotonicMillis())
            }
        }

        private fun publish(plan: ServicePlan, inventory: EngineInventory) {
            if (inventory.reportedAtMillis == Long.MIN_VALUE) return
            val id = inventory.engine.id
            val now = KnownContents(
                inventory.models.associateWith { inventory.adaptersOf(it).sorted() },
                inventory.expected(plan.spec)
            )
            if (contents[id] == now) return
            contents[id] = now
            contentsVersion++
            versions[id] = contentsVersion
            DecisionLog.record(
                "engine_contents",
                "engine" to id,
                "models" to now.models,
                "expectedAtMillis" to now.expectedAtMillis
            )
            onContentsChanged()
        }
    }

    private data class KnownContents(
        val models: Map<String, List<String>>,
        val expectedAtMillis: Map<String, Long>
    ) {
        fun toMessage(engine: String, nowMillis: Long) = EngineContents(
            engine,
            models,
            expectedAtMillis.mapValues { it.value - nowMillis }
        )
    }

    private fun ModelSample.toSample() =
        DemandSample(WantedModel(model, adapter), requests, tokens, waiting)

    private companion object {
        /** Loads take 400 ms and more, so orders need not be quicker; urgent ones do not wait. */
        const val TICK_MILLIS = 50L

        /** Demand of an instance is told four times a second. */
        const val GRANT_MILLIS = 250L

        /** Above the usual interval; a longer one shows that the event loop stood still. */
        const val MAX_GRANT_GAP_MILLIS = 380L

        /** The rest is lent by the leader to instances whose requests come in clumps. */
        const val GRANTED_PART = 0.5

        /** The instance that asks knows a newer configuration, or an older one. */
        const val UNKNOWN_ACCOUNT_WAIT_MILLIS = 200L

        /** Outlasts the usual outages of the log, which last up to nine seconds. */
        const val SHARE_LEASE_MILLIS = 10_000L
    }
}
