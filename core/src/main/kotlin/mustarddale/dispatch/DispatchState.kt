/*
 * Everything that an instance needs to admit and route a request: the current configuration, the
 * memory ledger, its share of the rate limits and cold-start permits, and its view of the backend
 * servers. It is immutable; each operation returns the next state.
 */
package mustarddale.dispatch

import mustarddale.config.ConfigurationIndex
import mustarddale.control.ControlState
import mustarddale.dispatch.AdmissionDecision.Admitted
import mustarddale.dispatch.AdmissionDecision.InsufficientTokens
import mustarddale.memory.MemoryLedger
import mustarddale.rate.RateLimiter
import mustarddale.rate.SlotLease
import mustarddale.rate.TakeResult
import mustarddale.routing.LoadBalancingPolicy
import mustarddale.routing.ShortestQueue
import mustarddale.routing.Warmth

/**
 * The admission and routing state of one instance.
 *
 * @property coldStartPermits the permits that belong to the usable slots of [lease].
 * @property policy selects one of the servers that have capacity for a request.
 */
public data class DispatchState(
    public val index: ConfigurationIndex = ControlState.EMPTY.index,
    public val ledger: MemoryLedger = MemoryLedger(),
    public val limiter: RateLimiter = RateLimiter(),
    public val lease: SlotLease = SlotLease(),
    public val coldStartPermits: ColdStartPermits = ColdStartPermits.NONE,
    private val allColdStartPermits: ColdStartPermits = ColdStartPermits.NONE,
    public val servers: ServerViews = ServerViews(),
    public val policy: LoadBalancingPolicy = ShortestQueue
) {
    /** Admits or rejects [request]; [randomValue] breaks ties between backend servers. */
    public fun admit(
        request: DispatchRequest,
        nowMillis: Long,
        randomValue: Int
    ): DispatchResult<AdmissionDecision> {
        val decision = ServerSelector(this, nowMillis).select(request, randomValue)
        if (decision !is Admitted) return DispatchResult(addTransfer(request, nowMillis), decision)
        val charged = charge(request, nowMillis) ?: return insufficientTokens(request, nowMillis)
        return DispatchResult(charged.withServers { it.recordSend(decision.server) }, decision)
    }

    /** Admits [request] to the cold [server] with a permit lent by another instance. */
    public fun admitWithBorrowedPermit(
        request: DispatchRequest,
        server: String,
        nowMillis: Long
    ): DispatchResult<AdmissionDecision> {
        val charged = charge(request, nowMillis) ?: return insufficientTokens(request, nowMillis)
        return DispatchResult(
            charged.withServers { it.recordPermitBorrowed(server).recordSend(server) },
            Admitted(server)
        )
    }

    /** Returns [tokens] that a request of [account] reserved but did not use. */
    public fun refund(account: String, tokens: Double, nowMillis: Long): DispatchState =
        copy(limiter = limiter.deposit(account, tokens, nowMillis))

    /** Uses the replicated [state] from now on. */
    public fun applyControlState(state: ControlState, nowMillis: Long): DispatchState {
        val next = copy(ledger = state.ledger)
        return if (state.index === index) next else next.applyConfiguration(state.index, nowMillis)
    }

    /** Uses the configuration [index] from now on. */
    public fun applyConfiguration(index: ConfigurationIndex, nowMillis: Long): DispatchState {
        val configuration = index.configuration
        val permits =
            ColdStartPermits.all(configuration.limits.rateSlots, configuration.backendServers)
        return copy(index = index, allColdStartPermits = permits)
            .applyLease(lease, emptySet(), nowMillis)
    }

    /** Applies [change] to the view of the backend servers. */
    public fun withServers(change: (ServerViews) -> ServerViews): DispatchState =
        copy(servers = change(servers))

    /**
     * Uses the slots of [lease] from now on.
     *
     * @param newSlots slots claimed for the first time by any instance.
     */
    public fun applyLease(lease: SlotLease, newSlots: Set<Int>, nowMillis: Long): DispatchState {
        val configuration = index.configuration
        val totalSlots = configuration.limits.rateSlots
        val usableSlots = lease.usableSlots(nowMillis)
        return copy(
            lease = lease,
            coldStartPermits = allColdStartPermits.restrictTo(usableSlots),
            limiter = limiter.applyLease(
                lease,
                totalSlots,
                configuration.clientAccounts,
                newSlots,
                nowMillis
            )
        )
    }

    /** Lends a cold-start permit for [server] to another instance if one is free. */
    public fun lendPermit(server: String, nowMillis: Long): DispatchResult<Boolean> {
        val isCold = servers.view(server).warmth(nowMillis) != Warmth.WARM
        if (!isCold || freePermits(server, nowMillis) < 1) return DispatchResult(this, false)
        return DispatchResult(withServers { it.recordPermitLent(server) }, true)
    }

    /** Returns how many more requests this instance may send to the cold [server]. */
    public fun freePermits(server: String, nowMillis: Long): Int {
        if (!limiter.isLeaseValid(nowMillis)) return 0
        val view = servers.view(server)
        return coldStartPermits.count(server) - (view.inFlight - view.borrowedPermits) -
            view.lentPermits
    }

    /** Returns the slots that cannot be released because their cold-start permits are in use. */
    public fun slotsInUse(nowMillis: Long): Set<Int> = servers.names
        .filter { name ->
            val view = servers.view(name)
            view.warmth(nowMillis) != Warmth.WARM && view.inFlight + view.lentPermits > 0
        }
        .flatMap { coldStartPermits.slots(it) }
        .toSet()

    private fun charge(request: DispatchRequest, nowMillis: Long): DispatchState? {
        val account = request.account ?: return this
        val ownTokens = (request.reservedTokens - request.transferredTokens).coerceAtLeast(0.0)
        val excessTokens = (request.transferredTokens - request.reservedTokens).coerceAtLeast(0.0)
        val taken = limiter.take(account, ownTokens, nowMillis) as? TakeResult.Taken ?: return null
        return copy(limiter = taken.limiter.deposit(account, excessTokens, nowMillis))
    }

    private fun insufficientTokens(
        request: DispatchRequest,
        nowMillis: Long
    ): DispatchResult<AdmissionDecision> {
        val availableTokens = limiter.availableTokens(request.account.orEmpty(), nowMillis)
        val missingTokens = request.reservedTokens - request.transferredTokens - availableTokens
        return DispatchResult(
            addTransfer(request, nowMillis),
            InsufficientTokens(missingTokens)
        )
    }

    /** Adds the tokens transferred for [request], which is not admitted, to its account. */
    private fun addTransfer(request: DispatchRequest, nowMillis: Long): DispatchState {
        val account = request.account?.takeIf { request.transferredTokens > 0 } ?: return this
        return copy(limiter = limiter.deposit(account, request.transferredTokens, nowMillis))
    }
}
