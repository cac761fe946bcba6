/*
 * Simulates a scenario under a load-balancing policy on a virtual clock: the production dispatch
 * state of three instances, six simulated engines and a random workload of five accounts. The same
 * seed gives the same result.
 */
package mustarddale.bench.loadbalancing

import java.util.PriorityQueue
import java.util.Random
import kotlin.math.ln
import mustarddale.config.Availability
import mustarddale.config.BackendServer
import mustarddale.config.ClientAccount
import mustarddale.config.Configuration
import mustarddale.config.ConfigurationIndex
import mustarddale.config.FailureDomain
import mustarddale.config.Limits
import mustarddale.config.Model
import mustarddale.config.Service
import mustarddale.dispatch.AdmissionDecision
import mustarddale.dispatch.DispatchRequest
import mustarddale.dispatch.DispatchState
import mustarddale.rate.SlotLease
import mustarddale.routing.LoadBalancingPolicy

/** A simulation run of [scenario] under [policy]. */
public class PolicySimulation(
    private val scenario: Scenario,
    private val policy: LoadBalancingPolicy,
    seed: Long
) {
    private val random = Random(seed)
    private val engines = List(ENGINES) {
        val slowdownFactor = if (it < scenario.slowEngines) 2.0 else 1.0
        EngineSimulation("e$it", BATCH_SLOTS, MILLIS_PER_TOKEN * slowdownFactor)
    }
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.number }))
    private var nextEventNumber = 0L
    private var nowMillis = 0L
    private var instances = List(INSTANCES) { instance ->
        val lease = SlotLease().replaceSlots(slotsOf(instance), 0, LEASE_MILLIS)
        DispatchState(policy = policy)
            .applyConfiguration(index(Availability.IN), 0)
            .applyLease(lease, slotsOf(instance), 0)
    }

    /** The outcomes so far. */
    public val result: SimulationResult = SimulationResult(ACCOUNTS.map { it.name })

    /** Runs the scenario for five minutes of simulated time and returns the outcomes. */
    public fun run(): SimulationResult {
        engines.forEach { schedule(0) { publishReport(it) } }
        ACCOUNTS.forEachIndexed { index, account ->
            schedule(FIRST_ARRIVAL_MILLIS) { arrive(index, account.name) }
        }
        scenario.coldFromMillis?.let { from ->
            schedule(from) { engines[0].coldUntilMillis = from + DISTURBANCE_MILLIS }
        }
        scenario.domainOutFromMillis?.let { from ->
            schedule(from) { setFirstDomain(Availability.OUT) }
            schedule(from + DISTURBANCE_MILLIS) { setFirstDomain(Availability.IN) }
        }
        generateSequence { events.poll() }.takeWhile { it.atMillis <= END_MILLIS }.forEach {
            nowMillis = it.atMillis
            it.action()
        }
        result.maxInFlightWhileCold = engines[0].maxInFlightWhileCold
        return result
    }

    private fun arrive(accountIndex: Int, account: String) {
        val job = Job(account, nowMillis, MIN_TOKENS + random.nextInt(TOKEN_COUNT_SPAN))
        dispatch(job, pickInstance())
        val isSurge = nowMillis in END_MILLIS / 3..END_MILLIS * 2 / 3
        val factor = (if (accountIndex == 0) scenario.firstAccountFactor else 1.0) *
            (if (isSurge) scenario.surgeFactor else 1.0)
        val meanMillis =
            MEAN_JOB_MILLIS * ACCOUNTS.size / (ENGINES * BATCH_SLOTS * scenario.load * factor)
        val gapMillis = (-ln(1 - random.nextDouble()) * meanMillis).toLong()
        schedule(nowMillis + gapMillis) { arrive(accountIndex, account) }
    }

    private fun pickInstance(): Int {
        val isFirst = random.nextDouble() < scenario.firstInstanceShare
        return if (isFirst) 0 else 1 + random.nextInt(INSTANCES - 1)
    }

    private fun dispatch(job: Job, instance: Int) {
        val request = DispatchRequest(
            "s",
            job.account,
            model = "m",
            reservedTokens = job.outputTokens.toDouble()
        )
        val dispatched = instances[instance].admit(
            request,
            nowMillis,
            random.nextInt(Int.MAX_VALUE)
        )
        replaceState(instance, dispatched.state)
        when (val decision = dispatched.decision) {
            is AdmissionDecision.Admitted -> {
                val engine = engines.first { it.name == decision.server }
                startJobs(engine, engine.enqueue(job, instance, nowMillis))
            }

            is AdmissionDecision.InsufficientTokens ->
                retryWithTransfer(job, instance, request, decision)

            else -> result.recordRefusal(job, isOverRate = false)
        }
    }

    private fun retryWithTransfer(
        job: Job,
        instance: Int,
        request: DispatchRequest,
        insufficient: AdmissionDecision.InsufficientTokens
    ) {
        val transferredTokens = instances.indices.filter { it != instance }.sumOf { lender ->
            val withdrawal = instances[lender].limiter.withdrawUpTo(
                job.account,
                insufficient.missingTokens,
                nowMillis
            )
            replaceState(lender, instances[lender].copy(limiter = withdrawal.limiter))
            withdrawal.tokens
        }
        val retriedRequest = request.copy(transferredTokens = transferredTokens)
        val dispatched = instances[instance].admit(
            retriedRequest,
            nowMillis,
            random.nextInt(Int.MAX_VALUE)
        )
        replaceState(instance, dispatched.state)
        val decision = dispatched.decision
        if (decision is AdmissionDecision.Admitted) {
            val engine = engines.first { it.name == decision.server }
            startJobs(engine, engine.enqueue(job, instance, nowMillis))
        } else {
            result.recordRefusal(job, isOverRate = decision is AdmissionDecision.InsufficientTokens)
        }
    }

    private fun startJobs(engine: EngineSimulation, jobs: List<RunningJob>) {
        jobs.forEach { running ->
            result.recordFirstToken(running.job, nowMillis + EngineSimulation.PREFILL_MILLIS)
            schedule(running.endMillis) {
                val state = instances[running.instance]
                replaceState(running.instance, state.withServers { it.recordFinish(engine.name) })
                startJobs(engine, engine.finish(running, nowMillis))
            }
        }
    }

    private fun publishReport(engine: EngineSimulation) {
        val report = engine.loadReport(nowMillis)
        schedule(nowMillis + scenario.reportLagMillis) {
            instances = instances.map { state ->
                state.withServers { it.applyReport(report, nowMillis) }
            }
        }
        schedule(nowMillis + REPORT_INTERVAL_MILLIS) { publishReport(engine) }
    }

    private fun setFirstDomain(availability: Availability) {
        instances = instances.map { it.applyConfiguration(index(availability), nowMillis) }
    }

    private fun replaceState(instance: Int, state: DispatchState) {
        instances = instances.toMutableList().also { it[instance] = state }
    }

    private fun schedule(atMillis: Long, action: () -> Unit) {
        events.add(Event(atMillis, nextEventNumber++, action))
    }

    private class Event(val atMillis: Long, val number: Long, val action: () -> Unit)

    private companion object {
        const val ENGINES = 6
        const val INSTANCES = 3
        const val BATCH_SLOTS = 16
        const val MILLIS_PER_TOKEN = 33.0
        const val MIN_TOKENS = 20
        const val TOKEN_COUNT_SPAN = 100

        // 200 is the prefill time, see EngineSimulation.PREFILL_MILLIS.
        const val MEAN_JOB_MILLIS = 200 + (MIN_TOKENS + TOKEN_COUNT_SPAN / 2) * MILLIS_PER_TOKEN
        const val FIRST_ARRIVAL_MILLIS = 5_000L
        const val REPORT_INTERVAL_MILLIS = 500L
        const val END_MILLIS = 300_000L
        const val DISTURBANCE_MILLIS = 90_000L
        const val SLOTS = 60
        const val LEASE_MILLIS = 4_500_000L

        /** Tokens per second; about a third of the capacity, so that rates do not limit the run. */
        const val ACCOUNT_RATE = 1_000L
        val ACCOUNTS = List(5) { ClientAccount("a$it", ACCOUNT_RATE, ACCOUNT_RATE * 4) }

        fun slotsOf(instance: Int): Set<Int> =
            (0 until SLOTS).filter { it % INSTANCES == instance }.toSet()

        fun index(availability: Availability) = ConfigurationIndex(
            Configuration(
                failureDomains = listOf(FailureDomain("d0", availability), FailureDomain("d1")),
                clientAccounts = ACCOUNTS,
                services = listOf(Service("s", models = listOf(Model("m", 1)))),
                backendServers = List(ENGINES) {
                    val domain = if (it < 2) "d0" else "d1"
                    BackendServer("e$it", "s", "http://e$it", domain, 10, coldRequests = 2)
                },
                limits = Limits(rateSlots = SLOTS)
            )
        )
    }
}
