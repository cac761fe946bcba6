package mustarddale.bench.loadbalancing

/** Counts the outcomes of the requests in one simulation run, by account. */
public class SimulationResult(accounts: List<String>) {
    private val byAccount = accounts.associateWith { OutcomeCounts() }

    /** The largest number of jobs that the first engine had while it was cold. */
    public var maxInFlightWhileCold: Int = 0

    private class OutcomeCounts {
        var inTime = 0
        var late = 0
        var refused = 0
        var overRate = 0
        val attainment: Double
            get() = inTime.toDouble() / (inTime + late + refused).coerceAtLeast(1)
    }

    /** Records that [job] gets its first token at [firstTokenMillis]. */
    public fun recordFirstToken(job: Job, firstTokenMillis: Long) {
        val count = byAccount.getValue(job.account)
        if (firstTokenMillis - job.arrivedAtMillis <= FIRST_TOKEN_TARGET_MILLIS) {
            count.inTime++
        } else {
            count.late++
        }
    }

    /** Records that [job] was refused; [isOverRate] if its account had used up its rate. */
    public fun recordRefusal(job: Job, isOverRate: Boolean) {
        val count = byAccount.getValue(job.account)
        if (isOverRate) count.overRate++ else count.refused++
    }

    /** The number of requests that got their first token within the target time. */
    public val inTime: Int get() = byAccount.values.sumOf { it.inTime }

    /** The share of requests within the rate that got their first token within the target time. */
    public val attainment: Double
        get() = inTime.toDouble() / byAccount.values.sumOf { it.inTime + it.late + it.refused }

    /** The lowest attainment of an account. */
    public val lowestAttainment: Double get() = byAccount.values.minOf { it.attainment }

    /** The highest attainment of an account. */
    public val highestAttainment: Double get() = byAccount.values.maxOf { it.attainment }

    /** The share of requests within the rate that were refused. */
    public val refusedShare: Double
        get() = byAccount.values.sumOf { it.refused }.toDouble() /
            byAccount.values.sumOf { it.inTime + it.late + it.refused }

    /** The number of requests refused because their account had used up its rate. */
    public val overRate: Int get() = byAccount.values.sumOf { it.overRate }

    private companion object {
        const val FIRST_TOKEN_TARGET_MILLIS = 1_200L
    }
}
