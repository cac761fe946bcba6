package mustarddale.bench.policy

import mustarddale.memory.ReportNumber
import mustarddale.routing.LoadReport
import mustarddale.routing.Warmth

/** One request of the workload. */
public data class Job(
    public val account: String,
    public val arrivedAtMillis: Long,
    public val outputTokens: Int
)

/** A job on an engine, with when it ends. */
public data class Running(public val job: Job, public val instance: Int, public val endMillis: Long)

/** An engine with a batch of limited size; a fake of the engine interface, not of a network. */
public class EngineModel(
    public val name: String,
    private val batchSize: Int,
    private val millisPerToken: Double
) {
    private val waiting = ArrayDeque<Pair<Job, Int>>()
    private val running = mutableListOf<Running>()
    private var sequence = 0L

    /** Until when it is in cold start. */
    public var coldUntilMillis: Long = 0

    /** The most jobs that it had while cold. */
    public var mostWhileCold: Int = 0
        private set

    /** Takes [job] of [instance]; returns those that start now. */
    public fun take(job: Job, instance: Int, nowMillis: Long): List<Running> {
        waiting.addLast(job to instance)
        if (nowMillis < coldUntilMillis) {
            mostWhileCold = maxOf(mostWhileCold, running.size + waiting.size)
        }
        return startNext(nowMillis)
    }

    /** Ends [ended]; returns those that start now. */
    public fun end(ended: Running, nowMillis: Long): List<Running> {
        running.remove(ended)
        return startNext(nowMillis)
    }

    /** What it says of itself at [nowMillis]. */
    public fun report(nowMillis: Long): LoadReport = LoadReport(
        server = name,
        number = ReportNumber(1, ++sequence),
        warmth = if (nowMillis < coldUntilMillis) Warmth.COLD else Warmth.WARM,
        running = running.size,
        waiting = waiting.size,
        batchSlots = batchSize,
        ready = listOf("m"),
        held = emptyList(),
        appliedFence = 0
    )

    private fun startNext(nowMillis: Long): List<Running> = buildList {
        while (running.size < batchSize) {
            val (job, instance) = waiting.removeFirstOrNull() ?: break
            val slowdown = if (nowMillis < coldUntilMillis) COLD_SLOWDOWN else 1.0
            val millis = (PREFILL_MILLIS + job.outputTokens * millisPerToken) * slowdown
            val started = Running(job, instance, nowMillis + millis.toLong())
            running.add(started)
            add(started)
        }
    }

    public companion object {
        /** From the start of a job to its first token. */
        public const val PREFILL_MILLIS: Long = 200
        private const val COLD_SLOWDOWN = 4.0
    }
}
