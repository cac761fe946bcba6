/*
 * Selects the backend server for a request: the one with the lowest expected time among those that
 * hold the model, or among a few random ones of them. The unit of the expected time is that for
 * which a request holds a slot of a usual server. While servers report no loads and do not differ,
 * this is the least loaded server with penalties for recent failures. Limits per server turn
 * overload into refusals before the server's own queue is full.
 */
package mustarddale.serving.backend

import java.util.random.RandomGenerator

/**
 * A backend server that may run the request.
 *
 * @property isColdLimited whether a request to the server needs a permit while the server is cold.
 * @property requestsPerSecond the limit of requests of all instances that the server has set, with
 *   which each request needs a permit; null for no limit.
 */
public data class Candidate(
    public val backend: Backend,
    public val load: BackendLoad,
    public val isColdLimited: Boolean,
    public val requestsPerSecond: Double? = null
) {
    /**
     * Whether a request of [priority] may go to the server now: the server has room, wants requests
     * and may have a permit if it needs one. The less urgent a request, the earlier a server that
     * reports its load counts as full for it.
     */
    public fun hasCapacity(priority: Int, nowMillis: Long): Boolean {
        if (load.loadPerSlot(nowMillis) >= maxLoadPerSlot(priority, nowMillis)) return false
        if (load.restWaitMillis(nowMillis) > 0) return false
        val needsPermit = requestsPerSecond != null || needsColdPermit(nowMillis)
        return !needsPermit || load.mayRequestPermit(priority, nowMillis)
    }

    internal fun needsColdPermit(nowMillis: Long): Boolean = isColdLimited && load.isCold(nowMillis)

    private fun maxLoadPerSlot(priority: Int, nowMillis: Long): Double {
        if (priority <= 0 || !load.isReporting(nowMillis)) return MAX_LOAD_PER_SLOT
        return MAX_LOAD_PER_SLOT - RESERVED_PER_PRIORITY * minOf(priority, MAX_RESERVED_PRIORITIES)
    }

    private companion object {
        /** Running and waiting requests per slot; above it, requests miss the usual time target. */
        const val MAX_LOAD_PER_SLOT = 2.0

        /** Kept free for more urgent requests, for each step of the priority. */
        const val RESERVED_PER_PRIORITY = 0.25
        const val MAX_RESERVED_PRIORITIES = 3
    }
}

/** The result of a selection. */
public sealed interface BackendSelection {
    /**
     * The request goes to [backend].
     *
     * @property cost the expected time at the server, in units of the time for which a request
     *   holds a slot, plus penalties; the lowest of the compared servers.
     * @property availableCount the number of servers that could have been selected.
     * @property holderCount the number of servers that hold the model, available or not.
     * @property needsColdPermit whether the server is cold, so that the leader has to permit the
     *   request.
     * @property requestsPerSecond the limit that the server has set, with which the request needs a
     *   permit; null for no limit.
     */
    public data class Selected(
        public val backend: Backend,
        public val cost: Double,
        public val availableCount: Int,
        public val holderCount: Int,
        public val needsColdPermit: Boolean,
        public val requestsPerSecond: Double?
    ) : BackendSelection {
        /** Whether the request may be sent only with a permit. */
        public val needsPermit: Boolean get() = needsColdPermit || requestsPerSecond != null
    }

    /** The service has no server that accepts requests. */
    public data object NoBackend : BackendSelection

    /** The service has servers, but none holds the model. */
    public data object NotResident : BackendSelection

    /** Every server with the model is full, cold, limited, resting, suspected or excluded. */
    public data object NoCapacity : BackendSelection
}

/**
 * Selects backend servers; not thread-safe.
 *
 * @param random breaks ties, and picks the servers that are compared.
 */
public class BackendSelector(private val random: RandomGenerator) {
    private val usable = ArrayList<Candidate>()

    /**
     * Selects one of [candidates], the servers of one service that accept requests.
     *
     * @param wanted the requested model, null if the service is not a model service.
     * @param excluded the IDs of servers that this request has already been sent to.
     * @param homeDomain the failure domain of this instance.
     * @param priority the priority of the request, 0 for the most urgent.
     */
    public fun select(
        candidates: List<Candidate>,
        wanted: ModelRef?,
        excluded: Set<String>,
        homeDomain: String,
        priority: Int,
        nowMillis: Long,
        size: RequestSize = RequestSize.UNKNOWN
    ): BackendSelection {
        if (candidates.isEmpty()) return BackendSelection.NoBackend
        val holders = candidates.holdersOf(wanted)
        if (holders.isEmpty()) return BackendSelection.NotResident
        collectUsable(holders, excluded, priority, nowMillis)
        if (usable.isEmpty()) return BackendSelection.NoCapacity
        val choice = Choice(homeDomain, size, nowMillis)
        if (usable.any { it.load.isReporting(nowMillis) }) {
            val times = usable[0].load.performance.times
            if (times.usualCost < CALM_COST) choice.offerSome(onlyHome = true)
            if (choice.cost >= HOME_COST) choice.offerSome(onlyHome = false)
        } else {
            for (index in usable.indices) choice.offer(usable[index])
        }
        val best = checkNotNull(choice.best)
        return BackendSelection.Selected(
            best.backend,
            choice.cost,
            usable.size,
            holders.size,
            best.needsColdPermit(nowMillis),
            best.requestsPerSecond
        ).also { usable.clear() }
    }

    /** Collects the healthy servers with capacity; if there are none, idle ones to probe. */
    private fun collectUsable(
        holders: List<Candidate>,
        excluded: Set<String>,
        priority: Int,
        nowMillis: Long
    ) {
        usable.clear()
        var hasSuspected = false
        for (index in holders.indices) {
            val candidate = holders[index]
            if (candidate.load.isSuspected(nowMillis)) {
                hasSuspected = true
            } else if (candidate.isAvailable(excluded, priority, nowMillis)) {
                usable.add(candidate)
            }
        }
        if (!hasSuspected || usable.isNotEmpty()) return
        for (index in holders.indices) {
            val candidate = holders[index]
            if (candidate.load.inFlight == 0 &&
                candidate.isAvailable(excluded, priority, nowMillis)
            ) {
                usable.add(candidate)
            }
        }
    }

    private fun Candidate.isAvailable(excluded: Set<String>, priority: Int, nowMillis: Long) =
        backend.id !in excluded && hasCapacity(priority, nowMillis)

    /** The best of the servers that are offered for a request of [size]. */
    private inner class Choice(
        private val homeDomain: String,
        private val size: RequestSize,
        private val nowMillis: Long
    ) {
        var best: Candidate? = null
            private set
        var cost = Double.MAX_VALUE
            private set
        private var leastCost = Double.MAX_VALUE

        /** Compares only a few random ones of the usable servers, or of those in this domain. */
        fun offerSome(onlyHome: Boolean) {
            best = null
            cost = Double.MAX_VALUE
            leastCost = Double.MAX_VALUE
            var count = 0
            for (index in usable.indices) if (!onlyHome || isHome(usable[index])) count++
            // With fewer there is no choice, and all instances of a domain load the same server.
            if (onlyHome && count <= COMPARED) return
            val spread = if (!onlyHome && count <= COMPARED) FEW_SERVERS_SPREAD else 0.0
            var wantedCount = COMPARED
            for (index in usable.indices) {
                if (onlyHome && !isHome(usable[index])) continue
                if (random.nextInt(count) < wantedCount) {
                    val candidateCost = offer(usable[index], spread)
                    usable[index].load.performance.times.recordCost(candidateCost)
                    wantedCount--
                }
                count--
            }
        }

        /** Takes the candidate if its cost, plus up to [spread], is the least. */
        fun offer(candidate: Candidate, spread: Double = 0.0): Double {
            val candidateCost = candidate.cost()
            val compared =
                if (spread == 0.0) candidateCost else candidateCost + random.nextDouble() * spread
            if (best == null || compared < leastCost) {
                best = candidate
                cost = candidateCost
                leastCost = compared
            }
            return candidateCost
        }

        private fun isHome(candidate: Candidate) = candidate.backend.failureDomain == homeDomain

        fun offer(candidate: Candidate): Double {
            val candidateCost = candidate.cost()
            if (candidateCost < cost) {
                best = candidate
                cost = candidateCost
            }
            return candidateCost
        }

        private fun Candidate.cost(): Double {
            val failurePenalty = load.failureScore(nowMillis) * FAILURE_PENALTY
            val coldPenalty = if (load.isCold(nowMillis)) COLD_PENALTY else 0.0
            val tieBreak = random.nextDouble() * MAX_TIE_BREAK
            val domainPenalty = when {
                isHome(this) -> 0.0
                load.isReporting(nowMillis) -> INFORMED_DOMAIN_PENALTY
                else -> OTHER_DOMAIN_PENALTY
            }
            val slowness = load.performance.slowness(nowMillis)
            val loadPerSlot = load.loadPerSlot(nowMillis)
            val wait = if (load.isReporting(nowMillis)) {
                waitCost(loadPerSlot) + load.performance.hiddenWait(nowMillis)
            } else {
                loadPerSlot
            }
            val slowPenalty = if (slowness == 1.0) {
                0.0
            } else {
                (slowness - 1) * (wait + load.performance.times.sensitivity(size))
            }
            return wait + slowPenalty + failurePenalty + domainPenalty + coldPenalty + tieBreak
        }

        /**
         * The expected wait at a server with [loadPerSlot]. Below 1 a request waits only if the
         * server has got more requests than known, which is the less likely the more slots are
         * free. Without this, fast servers would be filled before others get any request.
         */
        private fun waitCost(loadPerSlot: Double): Double =
            if (loadPerSlot < 1) loadPerSlot * loadPerSlot else 2 * loadPerSlot - 1
    }

    private companion object {
        /**
         * How many random servers are compared. If all were, the instances that see the same late
         * reports would all select the same server.
         */
        const val COMPARED = 2

        /**
         * If all servers are compared because they are few, the choice is only more likely to fall
         * on the better one; all instances would go from one to the other with each late report.
         */
        const val FEW_SERVERS_SPREAD = 0.6

        /** A server that fails every request costs as much as one with two requests per slot. */
        const val FAILURE_PENALTY = 2.0

        /** Decides only between nearly equal servers, as other domains are about 1 ms away. */
        const val OTHER_DOMAIN_PENALTY = 0.02

        /** Bytes between domains are expensive; servers that report their load can be compared. */
        const val INFORMED_DOMAIN_PENALTY = 0.0625

        /**
         * The cost of a usual server with three quarters of its slots in use. A request hardly
         * ever waits there, so that servers of other domains are not looked at.
         */
        const val HOME_COST = 0.56

        /**
         * If the servers of a service cost more on average, the few that seem to have free slots
         * are those with late reports, and instances of their domain would overfill them.
         */
        const val CALM_COST = 0.5

        /** A cold server is slow and can handle only a few requests. */
        const val COLD_PENALTY = 0.3

        /** Keeps instances that see the same loads from selecting the same server. */
        const val MAX_TIE_BREAK = 0.03
    }
}
