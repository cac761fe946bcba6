/*
 * Runs one scenario under one policy on the virtual clock: the real dispatch state of three
 * instances, fakes of six engines, a seeded workload of five accounts. Same seed, same figures.
 */
package mustarddale.bench.policy

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

/** One run of [scenario] under [policy]. */
public class Fleet(
    private val scenario: Scenario,
    private val policy: LoadBalancingPolicy,
    seed: Long
) {
    private val random = Random(seed)
    private val engines = List(ENGINES) {
        val slowdown = if (it < scenario.slowEngines) 2.0 else 1.0
        EngineModel("e$it", BATCH, MILLIS_PER_TOKEN * slowdown)
    }
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.number }))
    private var eventNumber = 0L
    private var nowMillis = 0L
    private var instances = List(INSTANCES) { instance ->
        val lease = SlotLease().replaceSlots(slotsOf(instance), 0, LEASE_MILLIS)
        DispatchState(policy = policy)
            .applyConfiguration(index(Availability.IN), 0)
            .applyLease(lease, slotsOf(instance), 0)
    }

    /** What came out of it. */
    public val tally: Tally = Tally(ACCOUNTS.map { it.name })

    /** Runs to the end. */
    public fun run(): Tally {
        engines.forEach { at(0) { report(it) } }
        ACCOUNTS.forEachIndexed { number, account ->
            at(READY_MILLIS) { arrive(number, account.name) }
        }
        scenario.coldFromMillis?.let { from ->
            at(from) { engines[0].coldUntilMillis = from + HALF }
        }
        scenario.outFromMillis?.let { from ->
            at(from) { configure(Availability.OUT) }
            at(from + HALF) { configure(Availability.IN) }
        }
        generateSequence { events.poll() }.takeWhile { it.atMillis <= END_MILLIS }.forEach {
            nowMillis = it.atMillis
            it.action()
        }
        tally.mostWhileCold = engines[0].mostWhileCold
        return tally
    }

    private fun arrive(number: Int, account: String) {
        val job = Job(account, nowMillis, MIN_TOKENS + random.nextInt(MORE_TOKENS))
        offer(job, pickInstance())
        val isSurge = nowMillis in END_MILLIS / 3..END_MILLIS * 2 / 3
        val factor = (if (number == 0) scenario.noisyFactor else 1.0) *
            (if (isSurge) scenario.surgeFactor else 1.0)
        val meanMillis =
            MEAN_JOB_MILLIS * ACCOUNTS.size / (ENGINES * BATCH * scenario.load * factor)
        val gap = (-ln(1 - random.nextDouble()) * meanMillis).toLong()
        at(nowMillis + gap) { arrive(number, account) }
    }

    private fun pickInstance(): Int {
        val isFirst = random.nextDouble() < scenario.firstInstancePart
        return if (isFirst) 0 else 1 + random.nextInt(INSTANCES - 1)
    }

    private fun offer(job: Job, instance: Int) {
        val work =
            DispatchRequest(
                "s",
                job.account,
                model = "m",
                reservedTokens = job.outputTokens.toDouble()
            )
        val decided = instances[instance].admit(work, nowMillis, random.nextInt(Int.MAX_VALUE))
        replace(instance, decided.state)
        when (val decision = decided.decision) {
            is AdmissionDecision.Admitted -> {
                val engine = engines.first { it.name == decision.server }
                started(engine, engine.take(job, instance, nowMillis))
            }

            is AdmissionDecision.InsufficientTokens -> borrowAndOffer(job, instance, work, decision)

            else -> tally.refused(job, isOverRate = false)
        }
    }

    private fun borrowAndOffer(
        job: Job,
        instance: Int,
        work: DispatchRequest,
        short: AdmissionDecision.InsufficientTokens
    ) {
        val credit = instances.indices.filter { it != instance }.sumOf { lender ->
            val given = instances[lender].limiter.withdrawUpTo(
                job.account,
                short.missingTokens,
                nowMillis
            )
            replace(lender, instances[lender].copy(limiter = given.limiter))
            given.tokens
        }
        val again = work.copy(transferredTokens = credit)
        val decided = instances[instance].admit(again, nowMillis, random.nextInt(Int.MAX_VALUE))
        replace(instance, decided.state)
        val decision = decided.decision
        if (decision is AdmissionDecision.Admitted) {
            val engine = engines.first { it.name == decision.server }
            started(engine, engine.take(job, instance, nowMillis))
        } else {
            tally.refused(job, isOverRate = decision is AdmissionDecision.InsufficientTokens)
        }
    }

    private fun started(engine: EngineModel, jobs: List<Running>) {
        jobs.forEach { running ->
            tally.started(running.job, nowMillis + EngineModel.PREFILL_MILLIS)
            at(running.endMillis) {
                val dispatch = instances[running.instance]
                replace(running.instance, dispatch.withServers { it.recordFinish(engine.name) })
                started(engine, engine.end(running, nowMillis))
            }
        }
    }

    private fun report(engine: EngineModel) {
        val report = engine.report(nowMillis)
        at(nowMillis + scenario.reportLagMillis) {
            instances = instances.map { dispatch ->
                dispatch.withServers { it.applyReport(report, nowMillis) }
            }
        }
        at(nowMillis + REPORT_MILLIS) { report(engine) }
    }

    private fun configure(first: Availability) {
        instances = instances.map { it.applyConfiguration(index(first), nowMillis) }
    }

    private fun replace(instance: Int, dispatch: DispatchState) {
        instances = instances.toMutableList().also { it[instance] = dispatch }
    }

    private fun at(millis: Long, action: () -> Unit) {
        events.add(Event(millis, eventNumber++, action))
    }

    private class Event(val atMillis: Long, val number: Long, val action: () -> Unit)

    private companion object {
        const val ENGINES = 6
        const val INSTANCES = 3
        const val BATCH = 16
        const val MILLIS_PER_TOKEN = 33.0
        const val MIN_TOKENS = 20
        const val MORE_TOKENS = 100
        const val MEAN_JOB_MILLIS = 200 + (MIN_TOKENS + MORE_TOKENS / 2) * MILLIS_PER_TOKEN
        const val READY_MILLIS = 5_000L
        const val REPORT_MILLIS = 500L
        const val END_MILLIS = 300_000L
        const val HALF = 90_000L
        const val SLOTS = 60
        const val LEASE_MILLIS = 4_500_000L

        /** Each account may use a third of the engines, so that the rate is not what limits. */
        const val RATE = 1_000L
        val ACCOUNTS = List(5) { ClientAccount("a$it", RATE, RATE * 4) }

        fun slotsOf(instance: Int): Set<Int> =
            (0 until SLOTS).filter { it % INSTANCES == instance }.toSet()

        fun index(first: Availability) = ConfigurationIndex(
            Configuration(
                failureDomains = listOf(FailureDomain("d0", first), FailureDomain("d1")),
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
