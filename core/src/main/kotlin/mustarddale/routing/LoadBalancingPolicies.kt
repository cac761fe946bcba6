/*
 * Load-balancing policies. ShortestQueue is the default; the others are baselines for
 * benchmarks.
 */
package mustarddale.routing

/**
 * Chooses the candidate with the shortest expected queue, breaking ties at random.
 *
 * The expected queue includes this instance's own requests, which differ between instances, so that
 * instances with the same delayed load report do not all choose the same server.
 */
public object ShortestQueue : LoadBalancingPolicy {
    /** The cost of loading a missing adapter, as a number of queued requests. */
    private const val ADAPTER_LOAD_COST = 1.0

    override fun choose(candidates: List<Candidate>, randomValue: Int): Candidate? {
        val resident = candidates.filter { it.hasModel }
        val warm = resident.filter { it.warmth == Warmth.WARM }
        val pool = warm.ifEmpty { resident }
        val lowestCost = pool.minOfOrNull(::cost) ?: return null
        val tied = pool.filter { cost(it) == lowestCost }
        return tied[Math.floorMod(randomValue, tied.size)]
    }

    private fun cost(candidate: Candidate): Double =
        candidate.expectedQueue + if (candidate.hasAdapter) 0.0 else ADAPTER_LOAD_COST
}

/** Chooses the candidate at the index `randomValue`, so in turn if the value is a counter. */
public object RoundRobin : LoadBalancingPolicy {
    override fun choose(candidates: List<Candidate>, randomValue: Int): Candidate? =
        candidates.getOrNull(Math.floorMod(randomValue, candidates.size.coerceAtLeast(1)))
}

/** Chooses the candidate with the fewest in-flight requests of this instance. */
public object LeastInFlight : LoadBalancingPolicy {
    override fun choose(candidates: List<Candidate>, randomValue: Int): Candidate? =
        candidates.minByOrNull { it.inFlight }
}

/**
 * Chooses, of two random candidates, the one with fewer in-flight requests of this instance.
 *
 * After Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
 */
public object PowerOfTwoChoices : LoadBalancingPolicy {
    override fun choose(candidates: List<Candidate>, randomValue: Int): Candidate? =
        pickTwo(candidates, randomValue).minByOrNull { it.inFlight }
}

private fun pickTwo(candidates: List<Candidate>, randomValue: Int): List<Candidate> {
    if (candidates.size <= 2) return candidates
    val first = Math.floorMod(randomValue, candidates.size)
    val step = 1 + Math.floorMod(randomValue / candidates.size, candidates.size - 1)
    return listOf(candidates[first], candidates[(first + step) % candidates.size])
}
