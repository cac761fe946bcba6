/*
 * All that one instance believes while it serves: the configuration in force, the backend servers
 * and their loads, what the leader told about models, and the instance's shares and budgets.
 * Everything here belongs to the event loop, so no lock is needed and a request's decisions see one
 * state.
 */
package mustarddale.instance.serving.state

import kotlinx.collections.immutable.persistentMapOf
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.settings.ServingSettings
import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.BackendChange
import mustarddale.serving.backend.BackendDirectory
import mustarddale.serving.backend.BackendLoad
import mustarddale.serving.backend.Candidate
import mustarddale.serving.backend.WantedModel
import mustarddale.serving.config.RouteTable
import mustarddale.serving.config.ServingConfiguration
import mustarddale.serving.quota.AccountQuota
import mustarddale.serving.residency.DemandSample
import mustarddale.serving.retry.RetryBudget
import mustarddale.time.Clock

/** The beliefs of one instance with [settings]. */
public class ServingState(public var settings: ServingSettings, private val clock: Clock) {
    private val loads = HashMap<String, BackendLoad>()
    private val budgets = HashMap<String, RetryBudget>()
    private val demand = HashMap<Awaited, Wish>()

    /** The backend servers. */
    public val directory: BackendDirectory = BackendDirectory()

    /** Where requests wait while the process starts. */
    public val startupGate: StartupGate = StartupGate(clock)

    /** Requests that wait for a model. */
    public val modelWaiters: ModelWaiters = ModelWaiters()

    /** What client accounts may use here. */
    public val quota: AccountQuota =
        AccountQuota { extraQuotaTokens }

    /** What each account may use beyond its burst, over the fleet. */
    public val extraQuotaTokens: Double get() = settings.quotaSlackTokens * SLACK_PART

    /** Models by engine as the leader orders them. */
    public val residency: ResidencyView = ResidencyView()

    /** The configuration in force, null until the first is known. */
    public var configuration: ServingConfiguration? = null
        private set

    /** The routes of [configuration]. */
    public var routes: RouteTable = RouteTable(emptyList())
        private set

    /** Failure domains whose servers get nothing new. */
    public var drainingDomains: Set<String> = emptySet()
        set(value) {
            if (field != value) DecisionLog.record("domains_closed", "domains" to value)
            field = value
        }

    /** How many instances share the fleet's limits. */
    public var instanceCount: Int = UNKNOWN_INSTANCE_COUNT

    /** Called when requests wait for something that only the leader can bring about. */
    public var onUrgentDemand: () -> Unit = {}

    /** Puts [next] in force, unless a newer version is. */
    public fun configure(next: ServingConfiguration) {
        val version = configuration?.version
        if (version != null && next.version <= version) return
        configuration = next
        routes = RouteTable(next.routes)
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

    /** Takes in changes of the directory. */
    public fun apply(changes: List<BackendChange>) {
        val nowMillis = clock.monotonicMillis()
        changes.forEach { apply(it, nowMillis) }
        if (changes.isNotEmpty()) wakeModelWaiters()
    }

    private fun apply(change: BackendChange, nowMillis: Long) {
        when (change) {
            is BackendChange.Appeared -> {
                loads[change.backend.id] = BackendLoad(change.backend.slots)
                residency.forget(change.backend.id)
                loadOf(change.backend).cold(change.backend.coldMillis, nowMillis)
                logBelief("backend_appeared", change.backend)
            }

            is BackendChange.Changed -> {
                if (change.backend.coldMillis != change.before.coldMillis) {
                    loadOf(change.backend).cold(change.backend.coldMillis, nowMillis)
                }
                logBelief("backend_changed", change.backend)
            }

            is BackendChange.Gone -> {
                loads.remove(change.backend.id)
                residency.forget(change.backend.id)
                logBelief("backend_gone", change.backend)
            }
        }
    }

    private fun logBelief(event: String, backend: Backend) {
        DecisionLog.record(
            event,
            "backend" to backend.id,
            "service" to backend.service,
            "domain" to backend.failureDomain,
            "draining" to backend.isDraining,
            "coldMillis" to backend.coldMillis,
            "models" to backend.models,
            "born" to backend.bornMillis
        )
    }

    /** Wakes requests whose model is there now. */
    public fun wakeModelWaiters() {
        modelWaiters.wake { awaited ->
            candidates(awaited.service, awaited.wanted).any { it.backend.holds(awaited.wanted) }
        }
    }

    /** Returns when [model] should be at an engine of [service], null if none was told so. */
    public fun expectedAtMillis(service: String, model: String): Long? = directory.backends
        .filter { it.service == service && !it.isDraining && it.failureDomain !in drainingDomains }
        .mapNotNull { residency.expectedAtMillis(it.id, model) }
        .minOrNull()

    /** Returns what is known of the load of [backend]. */
    public fun loadOf(backend: Backend): BackendLoad =
        loads.getOrPut(backend.id) { BackendLoad(backend.slots) }

    /**
     * Returns the servers of [service] that may get new requests; a server that has just answered
     * that it does not hold [wanted] counts as holding nothing.
     */
    public fun candidates(service: String, wanted: WantedModel?): List<Candidate> {
        val nowMillis = clock.monotonicMillis()
        val allowance = coldAllowance(configuration?.services?.get(service)?.coldRequestsPerSecond)
        return directory.backends
            .filter {
                it.service == service && !it.isDraining && it.failureDomain !in drainingDomains
            }
            .map { Candidate(withModels(it, wanted, nowMillis), loadOf(it), allowance) }
    }

    private fun withModels(backend: Backend, wanted: WantedModel?, nowMillis: Long): Backend {
        if (wanted != null && residency.isAbsent(backend.id, wanted, nowMillis)) {
            return backend.copy(models = persistentMapOf())
        }
        val models = residency.modelsOf(backend.id, nowMillis) ?: return backend
        return backend.copy(models = models)
    }

    private fun coldAllowance(perSecond: Double?): Int {
        if (perSecond == null) return Int.MAX_VALUE
        val bound = perSecond * settings.coldRateFactor + settings.coldExtraRequests
        return (bound * COLD_SAFETY / instanceCount).toInt().coerceAtLeast(1)
    }

    /** Returns the retry budget of [service]. */
    public fun budgetOf(service: String): RetryBudget =
        budgets.getOrPut(service) { RetryBudget(settings.retryLimits) }

    /** Counts a request for a model. */
    public fun wanted(awaited: Awaited, outputTokens: Double) {
        val wish = demand.getOrPut(awaited) { Wish() }
        wish.requests++
        wish.tokens += outputTokens
    }

    /** Returns the demand for models, by service, since the last call. */
    public fun takeDemand(): Map<String, List<DemandSample>> {
        val waiting = modelWaiters.counts(clock.monotonicMillis())
        val samples = (demand.keys + waiting.keys).groupBy({ it.service }) { awaited ->
            val wish = demand[awaited]
            DemandSample(
                awaited.wanted,
                wish?.requests ?: 0,
                wish?.tokens ?: 0.0,
                waiting[awaited] ?: 0
            )
        }
        demand.clear()
        return samples
    }

    /** Marks that the engine does not hold [wanted], though it was believed to. */
    public fun notHere(backend: Backend, wanted: WantedModel) {
        residency.absent(backend.id, wanted, clock.monotonicMillis())
    }

    private class Wish {
        var requests = 0
        var tokens = 0.0
    }

    private companion object {
        /** Assumed until the leader has told the number; fleets of today have 8 to 12 instances. */
        const val UNKNOWN_INSTANCE_COUNT = 16

        /** The rest of the slack is for requests that are larger than a full bucket. */
        const val SLACK_PART = 0.6

        /** Requests sent within one second may arrive within another. */
        const val COLD_SAFETY = 0.8
    }
}
