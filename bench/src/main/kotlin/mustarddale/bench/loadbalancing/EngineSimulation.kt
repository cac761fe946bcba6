package mustarddale.bench.loadbalancing

import mustarddale.memory.ReportNumber
import mustarddale.routing.LoadReport
import mustarddale.routing.Warmth

/**
 * One request of the simulated workload.
 *
 * @property outputTokens the tokens that the engine generates for it.
 */
public data class Job(
    public val account: String,
    public val arrivedAtMillis: Long,
    public val outputTokens: Int
)

/** A job in the batch of an engine, with the instance that sent it and the time when it ends. */
public data class RunningJob(
    public val job: Job,
    public val instance: Int,
    public val endMillis: Long
)

/** A model engine with a batch of limited size; it has no network, so calls take no time. */
public class EngineSimulation(
    public val name: String,
    private val batchSize: Int,
    private val millisPerToken: Double
) {
    private val queue = ArrayDeque<Pair<Job, Int>>()
    private val batch = mutableListOf<RunningJob>()
    private var sequence = 0L

    /** The end of its cold start on the simulated clock. */
    public var coldUntilMillis: Long = 0

    /** The largest number of jobs that it had, running and waiting, while cold. */
    public var maxInFlightWhileCold: Int = 0
        private set

    /** Queues [job], sent by [instance], and returns the jobs that start now. */
    public fun enqueue(job: Job, instance: Int, nowMillis: Long): List<RunningJob> {
        queue.addLast(job to instance)
        if (nowMillis < coldUntilMillis) {
            maxInFlightWhileCold = maxOf(maxInFlightWhileCold, batch.size + queue.size)
        }
        return startNext(nowMillis)
    }

    /** Removes [finished] from the batch and returns the jobs that start now. */
    public fun finish(finished: RunningJob, nowMillis: Long): List<RunningJob> {
        batch.remove(finished)
        return startNext(nowMillis)
    }

    /** Returns its load report at [nowMillis]. */
    public fun loadReport(nowMillis: Long): LoadReport = LoadReport(
        server = name,
        number = ReportNumber(1, ++sequence),
        warmth = if (nowMillis < coldUntilMillis) Warmth.COLD else Warmth.WARM,
        running = batch.size,
        waiting = queue.size,
        batchSlots = batchSize,
        ready = listOf("m"),
        held = emptyList(),
        appliedFence = 0
    )

    private fun startNext(nowMillis: Long): List<RunningJob> = buildList {
        while (batch.size < batchSize) {
            val (job, instance) = queue.removeFirstOrNull() ?: break
            val slowdown = if (nowMillis < coldUntilMillis) COLD_SLOWDOWN else 1.0
            val durationMillis = (PREFILL_MILLIS + job.outputTokens * millisPerToken) * slowdown
            val started = RunningJob(job, instance, nowMillis + durationMillis.toLong())
            batch.add(started)
            add(started)
        }
    }

    public companion object {
        /** The time from the start of a job to its first token. */
        public const val PREFILL_MILLIS: Long = 200
        private const val COLD_SLOWDOWN = 4.0
    }
}
