package mustarddale.bench.policy

/** What came out of a run. */
public class Tally(accounts: List<String>) {
    private val byAccount = accounts.associateWith { Count() }

    /** The most jobs that the engine which turned cold had at a time. */
    public var mostWhileCold: Int = 0

    private class Count {
        var inTime = 0
        var late = 0
        var refused = 0
        var overRate = 0
        val attainment: Double
            get() = inTime.toDouble() / (inTime + late + refused).coerceAtLeast(1)
    }

    /** Notes that [job] gets its first token at [firstTokenMillis]. */
    public fun started(job: Job, firstTokenMillis: Long) {
        val count = byAccount.getValue(job.account)
        if (firstTokenMillis - job.arrivedAtMillis <=
            TARGET_MILLIS
        ) {
            count.inTime++
        } else {
            count.late++
        }
    }

    /** Notes that [job] was refused. */
    public fun refused(job: Job, isOverRate: Boolean) {
        val count = byAccount.getValue(job.account)
        if (isOverRate) count.overRate++ else count.refused++
    }

    /** Requests that got their first token in time. */
    public val inTime: Int get() = byAccount.values.sumOf { it.inTime }

    /** The part of requests within the rate that got their first token in time. */
    public val attainment: Double
        get() = inTime.toDouble() / byAccount.values.sumOf { it.inTime + it.late + it.refused }

    /** The attainment of the worst-served account. */
    public val worst: Double get() = byAccount.values.minOf { it.attainment }

    /** The attainment of the best-served account. */
    public val best: Double get() = byAccount.values.maxOf { it.attainment }

    /** The part of requests within the rate that was refused. */
    public val refusedPart: Double
        get() = byAccount.values.sumOf { it.refused }.toDouble() /
            byAccount.values.sumOf { it.inTime + it.late + it.refused }

    /** Requests refused because their account had used up its rate. */
    public val overRate: Int get() = byAccount.values.sumOf { it.overRate }

    private companion object {
        const val TARGET_MILLIS = 1_200L
    }
}
