/*
 * The state of one serving instance: the configuration in force, the backend servers and their
 * loads, the models reported by the leader, and the instance's quota shares and retry budgets.
 * Everything is confined to the event loop, so that it needs no locks and a request's decisions are
 * made on one consistent state.
 */
package mustarddale.instance.serving.state

import java.util.random.RandomGenerator
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.protocol.ResponseHead
import mustarddale.instance.serving.settings.CloudDuty
import mustarddale.instance.serving.settings.ServingSettings
import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.BackendChange
import mustarddale.serving.backend.BackendDirectory
import mustarddale.serving.backend.BackendLoad
import mustarddale.serving.backend.CandidateList
import mustarddale.serving.backend.DrainingDomains
import mustarddale.serving.backend.ModelRef
import mustarddale.serving.backend.ServiceTimes
import mustarddale.serving.config.RouteTable
import mustarddale.serving.config.ServingConfiguration
import mustarddale.serving.quota.AccountQuota
import mustarddale.serving.residency.DemandSample
import mustarddale.serving.retry.RetryBudget
import mustarddale.serving.scaling.ServiceLoad
import mustarddale.time.Clock

/** The state of one instance with [settings]. */
public class ServingState(public var settings: ServingSettings, private val clock: Clock) {
    private val loadsByBackend = HashMap<String, BackendLoad>()
    private val timesByService = HashMap<String, ServiceTimes>()
    private val retryBudgets = HashMap<String, RetryBudget>()
    private val demandByModel = HashMap<ServiceModel, DemandCounter>()

    /** All known backend servers. */
    public val directory: BackendDirectory = BackendDirectory()

    /** What backend servers say of themselves in responses. */
    public val notices: ServerNotices = ServerNotices(directory, clock, ::onServersLeaving)

    /** The requests that servers began, null unless the leader reports usage. */
    public val usage: UsageRecorder? = settings.cloud?.takeIf { it.has(CloudDuty.USAGE) }
        ?.let { UsageRecorder(it.usageTimes, clock) }

    /** The requests of scaled services, null unless the leader orders engines. */
    public val serviceLoads: ServiceLoads? =
        settings.cloud?.takeIf { it.has(CloudDuty.AUTOSCALE) }?.let { ServiceLoads() }

    /** The paths from this instance to backend servers. */
    public val paths: PathMonitor = PathMonitor(clock)

    /** The instances that relay requests for this one. */
    public val relayPeers: RelayPeers = RelayPeers(clock, RandomGenerator.getDefault())

    /** Delays requests that arrive while the process starts. */
    public val startupGate: StartupGate = StartupGate(clock)

    /** The lateness of the event loop. */
    public val lateness: LoopLateness = LoopLateness(clock)

    /** Requests that wait for their model. */
    public val modelWaiters: ModelWaiters = ModelWaiters()

    /** The tokens that client accounts may use at this instance. */
    public val quota: AccountQuota = AccountQuota { extraQuotaTokens }

    /** Tokens that each account may use beyond its burst, over all instances together. */
    public val extraQuotaTokens: Double get() = settings.quotaSlackTokens * EXTRA_QUOTA_FRACTION

    /** What this instance has seen of the parts of prompts. */
    public val promptObservations: PromptObservations = PromptObservations(clock)

    /** The blocks of requests by parts of their prompts. */
    public val promptBlocks: PromptBlocks = PromptBlocks(clock)

    /** The requests that may crash servers. */
    public val suspectedRequests: SuspectedRequests = SuspectedRequests(clock)

    /** The software versions that began streams. */
    public val streamVersions: StreamVersions = StreamVersions(clock)

    /** The limits that backend servers have set for requests of all instances. */
    public val limits: ServerLimits = ServerLimits(clock, ::onLimitsChanged)

    /** The exchange of loads and speeds of servers with other instances. */
    public val serverObservations: ServerObservationsExchange =
        ServerObservationsExchange(directory, ::loadOf, clock)

    /** What is known of the performance of servers, for logs and metrics. */
    public val serverEstimates: ServerEstimateLog = ServerEstimateLog(directory, ::loadOf, clock)

    /** The models that engines hold, as the leader reports them. */
    public val residency: ResidencyView = ResidencyView()

    /** Failure domains whose servers get no new requests. */
    public val drainingDomains: DrainingDomains = DrainingDomains()

    private val candidateIndex = CandidateIndex(
        directory,
        drainingDomains,
        residency,
        limits,
        ::loadOf,
        isColdLimited = { configuration?.services?.get(it)?.coldRequestsPerSecond != null }
    )

    /** The configuration in force, null before the first one is received. */
    public var configuration: ServingConfiguration? = null
        private set

    /** The routes of [configuration]. */
    public var routes: RouteTable = RouteTable(emptyList())
        private set

    /** The number of instances that share the retry budgets, null until a leader reports it. */
    public var instanceCount: Int? = null

    /**
     * Called when a request needs a model that no usable server holds, or has lost its server, and
     * when the limit of a server has changed.
     */
    public var onUrgentDemand: () -> Unit = {}

    /** Called when servers or what they hold have changed, so that there may be more room. */
    public var onModelsChanged: () -> Unit = {}

    /** Applies [next] if its version is newer than that of the configuration in force. */
    public fun configure(next: ServingConfiguration) {
        val version = configuration?.version
        if (version != null && next.version <= version) return
        configuration = next
        routes = RouteTable(next.routes)
        candidateIndex.invalidate()
        if (!next.hasAccounts) startupGate.open()
        quota.refill(next.accounts.values, clock.monotonicMillis())
        DecisionLog.record(
            "configuration_taken",
            "version" to next.version,
            "routes" to next.routes.size,
            "before" to version,
            "rates" to next.accounts.values.associate { it.name to it.tokensPerSecond }
        )
    }

    /** Applies [changes] of [directory] to the loads and the known models of its servers. */
    public fun apply(changes: List<BackendChange>) {
        val nowMillis = clock.monotonicMillis()
        changes.forEach { apply(it, nowMillis) }
        if (changes.isNotEmpty()) candidateIndex.invalidate()
        streamVersions.recordListed(directory.backends)
        if (changes.isNotEmpty()) wakeModelWaiters()
    }

    private fun apply(change: BackendChange, nowMillis: Long) {
        when (change) {
            is BackendChange.Added -> {
                loadsByBackend[change.backend.id] = newLoad(change.backend)
                residency.removeEngine(change.backend.id)
                loadOf(change.backend).setCold(change.backend.coldRemainingMillis, nowMillis)
                logBackendChange("backend_appeared", change.backend)
            }

            is BackendChange.Changed -> {
                if (change.backend.coldRemainingMillis != change.before.coldRemainingMillis) {
                    loadOf(change.backend).setCold(change.backend.coldRemainingMillis, nowMillis)
                }
                logBackendChange("backend_changed", change.backend)
            }

            is BackendChange.Removed -> {
                loadsByBackend.remove(change.backend.id)
                limits.forget(change.backend)
                paths.forget(change.backend)
                notices.forget(change.backend)
                residency.removeEngine(change.backend.id)
                logBackendChange("backend_gone", change.backend)
            }
        }
    }

    private fun onServersLeaving(changes: List<BackendChange>) {
        apply(changes)
        onUrgentDemand()
    }

    private fun onLimitsChanged(runs: Set<String>) {
        candidateIndex.invalidate()
        directory.backends.filter { it.run in runs }.forEach { loadOf(it).resumePermits() }
        onUrgentDemand()
    }

    /** Applies [change] to the failure domains whose servers get no new requests. */
    public fun updateDrainingDomains(change: DrainingDomains.(nowMillis: Long) -> Unit) {
        val before = drainingDomains.all
        drainingDomains.change(clock.monotonicMillis())
        val after = drainingDomains.all
        if (before == after) return
        DecisionLog.record("domains_closed", "domains" to after)
        assumeCold(before - after)
    }

    /** Servers of a domain that returns may be cold before their entries say so. */
    private fun assumeCold(domains: Set<String>) {
        val nowMillis = clock.monotonicMillis()
        directory.backends.filter { it.failureDomain in domains }
            .forEach { loadOf(it).assumeCold(REOPENED_COLD_MILLIS, nowMillis) }
    }

    private fun logBackendChange(event: String, backend: Backend) {
        DecisionLog.record(
            event,
            "backend" to backend.id,
            "service" to backend.service,
            "domain" to backend.failureDomain,
            "version" to backend.version,
            "draining" to backend.isDraining,
            "coldMillis" to backend.coldRemainingMillis,
            "models" to backend.models,
            "born" to backend.startUnixMillis
        )
    }

    /** Resumes the waiting requests whose model a usable server now holds. */
    public fun wakeModelWaiters() {
        modelWaiters.wake { serviceModel ->
            candidates(serviceModel.service, serviceModel.requestedModel)
                .holdersOf(serviceModel.requestedModel).isNotEmpty()
        }
        onModelsChanged()
    }

    /**
     * Returns when an engine of [service] that [isUsable] should first hold [model], null if none
     * is expected.
     */
    public fun expectedAtMillis(
        service: String,
        model: String,
        isUsable: (Backend) -> Boolean
    ): Long? = directory.backends
        .filter { it.service == service && acceptsRequests(it) && isUsable(it) }
        .mapNotNull { residency.expectedAtMillis(it.id, model) }
        .minOrNull()

    /** Whether [backend] is listed, not draining, and in a failure domain that is in use. */
    public fun acceptsRequests(backend: Backend): Boolean {
        val listed = directory.find(backend.id) ?: return false
        return !listed.isDraining && listed.failureDomain !in drainingDomains
    }

    /** Returns the known load of [backend]. */
    public fun loadOf(backend: Backend): BackendLoad =
        loadsByBackend.getOrPut(backend.id) { newLoad(backend) }

    private fun newLoad(backend: Backend): BackendLoad {
        val times = timesByService.getOrPut(backend.service) { ServiceTimes() }
        return BackendLoad(backend.slots, times) { candidateIndex.invalidate() }
    }

    /**
     * Returns the servers of [service] that may get new requests; a server that has recently
     * refused [requestedModel] as absent counts as holding no model.
     */
    public fun candidates(service: String, requestedModel: ModelRef?): CandidateList =
        candidateIndex.candidates(service, requestedModel, clock.monotonicMillis())

    /** Returns the retry budget of [service]. */
    public fun retryBudgetOf(service: String): RetryBudget =
        retryBudgets.getOrPut(service) { RetryBudget(settings.retryLimits) }

    /** Records a request for [serviceModel] that generates [outputTokens]. */
    public fun recordDemand(serviceModel: ServiceModel, outputTokens: Double) {
        val counter = demandByModel.getOrPut(serviceModel) { DemandCounter() }
        counter.requests++
        counter.tokens += outputTokens
    }

    /** Records that a request for [serviceModel] is complete and took a slot for [slotMillis]. */
    public fun recordCompleted(serviceModel: ServiceModel, slotMillis: Long) {
        val counter = demandByModel.getOrPut(serviceModel) { DemandCounter() }
        counter.completed++
        counter.slotMillis += slotMillis
    }

    /** Returns the demand for models since the last call, by service, and resets it. */
    public fun takeDemand(): Map<String, List<DemandSample>> {
        val waiting = modelWaiters.waitingCounts(clock.monotonicMillis())
        val samples = (demandByModel.keys + waiting.keys).groupBy({ it.service }) { serviceModel ->
            val counter = demandByModel[serviceModel]
            DemandSample(
                serviceModel.requestedModel,
                counter?.requests ?: 0,
                counter?.tokens ?: 0.0,
                waiting[serviceModel] ?: 0,
                counter?.completed ?: 0,
                counter?.slotMillis ?: 0
            )
        }
        demandByModel.clear()
        return samples
    }

    /** Returns the loads of scaled services since the last call. */
    public fun takeServiceLoads(): List<ServiceLoad> {
        val loads = serviceLoads ?: return emptyList()
        val scaled = configuration?.services.orEmpty().filterValues { it.scaling != null }.keys
        val running = directory.backends.filter { it.service in scaled }.groupBy { it.service }
            .mapValues { (_, backends) -> backends.sumOf { loadOf(it).inFlight } }
        val waiting = modelWaiters.waitingCounts(clock.monotonicMillis()).entries
            .groupBy({ it.key.service }, { it.value }).mapValues { it.value.sum() }
        return loads.take(scaled, running, waiting)
    }

    /** Records that [backend] has refused a request because it lacks [requestedModel]. */
    public fun markAbsent(backend: Backend, requestedModel: ModelRef) {
        residency.markAbsent(backend.id, requestedModel, clock.monotonicMillis())
    }

    /** Records what [backend] says of itself in the response to a request sent at [sentMillis]. */
    public fun recordNotices(backend: Backend, head: ResponseHead, sentMillis: Long) {
        limits.record(backend, head.limit, sentMillis)
        notices.recordRest(backend, loadOf(backend), head.rest)
        if (head.isLeaving) notices.markLeaving(setOf(backend.run))
    }

    private class DemandCounter {
        var requests = 0
        var tokens = 0.0
        var completed = 0
        var slotMillis = 0L
    }

    private companion object {
        /** Longer than the interval at which servers renew their entries. */
        const val REOPENED_COLD_MILLIS = 2_000L

        /** The rest of the slack is for requests that need more tokens than a full bucket. */
        const val EXTRA_QUOTA_FRACTION = 0.6
    }
}
