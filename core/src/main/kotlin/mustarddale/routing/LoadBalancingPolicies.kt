/*
 * The policies. ShortestQueue is the one in use; the others are baselines that it is measured
 * against.
 */
package mustarddale.routing

/**
 * Chooses the candidate with the shortest expected queue, one at random among equals.
 *
 * The expected queue starts from this instance's own requests, which differ between instances, so
 * that instances which share a late report do not all choose the same server.
 */
public object ShortestQueue : LoadBalancingPolicy {
    private const val ADAPTER_LOAD_COST = 1.0

    override fun choose(candidates: List<Candidate>, randomValue: Int): Candidate? {
        val resident = candidates.filter { it.hasModel }
        val warm = resident.filter { it.warmth == Warmth.WARM }
        val pool = warm.ifEmpty { resident }
        val lowest = pool.minOfOrNull(::cost) ?: return null
        val equals = pool.filter { cost(it) == lowest }
        return equals[Math.floorMod(randomValue, equals.size)]
    }

    private fun cost(candidate: Candidate): Double =
        candidate.expectedQueue + if (candidate.hasAdapter) 0.0 else ADAPTER_LOAD_COST
}

/** Chooses the candidates in turn. */
public object RoundRobin : LoadBalancingPolicy {
    override fun choose(candidates: List<Candidate>, randomValue: Int): Candidate? =
        candidates.getOrNull(Math.floorMod(randomValue, candidates.size.coerceAtLeast(1)))
}

/** Chooses the candidate with the fewest requests of this instance. */
public object LeastInFlight : LoadBalancingPolicy {
    override fun choose(candidates: List<Candidate>, randomValue: Int): Candidate? =
        candidates.minByOrNull { it.inFlight }
}

/**
 * Chooses the one of two random candidates with the fewer requests of this instance.
 *
 * After Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
 */
public object PowerOfTwoChoices : LoadBalancingPolicy {
    override fun choose(candidates: List<Candidate>, randomValue: Int): Candidate? =
        pickTwo(candidates, randomValue).minByOrNull { it.inFlight }
}

private fun pickTwo(pool: List<Candidate>, randomValue: Int): List<Candidate> {
    if (pool.size <= 2) return pool
    val first = Math.floorMod(randomValue, pool.size)
    val step = 1 + Math.floorMod(randomValue / pool.size, pool.size - 1)
    return listOf(pool[first], pool[(first + step) % pool.size])
}
