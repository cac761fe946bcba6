/*
 * Chooses the backend server for a request. It answers the load of many small requests on few
 * servers: the least loaded server that holds the model, corrected by how often servers fail, with
 * limits that turn overload into refusals before a server's own queue is full.
 */
package mustarddale.serving.backend

import java.util.random.RandomGenerator

/** A backend server that may take the request. */
public data class Candidate(
    public val backend: Backend,
    public val load: BackendLoad,
    public val coldRequestLimit: Int
)

/** The outcome of a choice. */
public sealed interface BackendSelection {
    /**
     * The request goes to [backend], whose [cost] was the least of [availableCount] servers; [holderCount] serve
     * what it asks for.
     */
    public data class Selected(
        public val backend: Backend,
        public val cost: Double,
        public val availableCount: Int,
        public val holderCount: Int
    ) : BackendSelection

    /** No server of the service may be used at all. */
    public data object NoBackend : BackendSelection

    /** Servers are there, but none holds the model. */
    public data object NotResident : BackendSelection

    /** All servers with the model are full, cold or suspected. */
    public data object NoCapacity : BackendSelection
}

/** The rules by which [select] decides. */
public class BackendSelector(private val random: RandomGenerator) {
    /**
     * Chooses among [candidates], which are the usable servers of one service.
     *
     * @param wanted the model, null for a plain service.
     * @param excluded servers that refused this request already.
     * @param homeDomain the failure domain of this instance.
     */
    public fun select(
        candidates: List<Candidate>,
        wanted: ModelRef?,
        excluded: Set<String>,
        homeDomain: String,
        nowMillis: Long
    ): BackendSelection {
        if (candidates.isEmpty()) return BackendSelection.NoBackend
        val holders = candidates.filter { wanted == null || it.backend.holds(wanted) }
        if (holders.isEmpty()) return BackendSelection.NotResident
        val open = holders.filter { it.backend.id !in excluded && it.mayTakeMore(nowMillis) }
        val sound = open.filter { !it.load.isSuspected(nowMillis) }
        val tried = open.filter { it.load.inFlight == 0 }
        val usable = sound.ifEmpty { tried }
        val (best, cost) = usable.map { it to it.cost(homeDomain, nowMillis) }
            .minByOrNull { it.second } ?: return BackendSelection.NoCapacity
        return BackendSelection.Selected(best.backend, cost, usable.size, holders.size)
    }

    private fun Candidate.mayTakeMore(nowMillis: Long): Boolean {
        if (load.pressure(nowMillis) >= MAX_PRESSURE) return false
        if (!load.isCold(nowMillis)) return true
        return load.coldSendsWithin(COLD_WINDOW_MILLIS, nowMillis) < coldRequestLimit
    }

    private fun Candidate.cost(homeDomain: String, nowMillis: Long): Double {
        val failures = load.failureScore(nowMillis) * FAILURE_WEIGHT
        val distance = if (backend.failureDomain == homeDomain) 0.0 else DISTANCE_WEIGHT
        val coldness = if (load.isCold(nowMillis)) COLD_WEIGHT else 0.0
        val tie = random.nextDouble() * TIE_WEIGHT
        return load.pressure(nowMillis) + failures + distance + coldness + tie
    }

    private companion object {
        /** Running and waiting requests for each slot; more would wait past the usual target. */
        const val MAX_PRESSURE = 2.0

        /** A server that fails always counts as if it had two full batches. */
        const val FAILURE_WEIGHT = 2.0

        /** Prefers a near server only among about equal ones; the way costs a millisecond. */
        const val DISTANCE_WEIGHT = 0.02

        /** A cold server is slow and bears little. */
        const val COLD_WEIGHT = 0.3

        /** Spreads instances that see the same loads. */
        const val TIE_WEIGHT = 0.03

        /** Cold limits count requests within a second. */
        const val COLD_WINDOW_MILLIS = 1_000L
    }
}
