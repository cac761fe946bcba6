/*
 * All that one instance decides by when a request arrives: the configuration in force, what the
 * memory ledger allows, its share of the rates, its part of the cold-start budgets, and what it
 * knows of the backend servers. It is a value; every operation gives the next one.
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

/** The decision state of one instance. */
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
    /** Decides on [work]; [randomValue] is a random number. */
    public fun admit(
        work: DispatchRequest,
        nowMillis: Long,
        randomValue: Int
    ): DispatchResult<AdmissionDecision> {
        val choice = ServerSelector(this, nowMillis).choose(work, randomValue)
        if (choice !is Admitted) return DispatchResult(keepCredit(work, nowMillis), choice)
        val charged = charge(work, nowMillis) ?: return short(work, nowMillis)
        return DispatchResult(charged.withServers { it.recordSend(choice.server) }, choice)
    }

    /** Sends [work] to the cold [server] on a permit that another instance lent. */
    public fun admitWithBorrowedPermit(
        work: DispatchRequest,
        server: String,
        nowMillis: Long
    ): DispatchResult<AdmissionDecision> {
        val charged = charge(work, nowMillis) ?: return short(work, nowMillis)
        return DispatchResult(
            charged.withServers {
                it.recordPermitBorrowed(server).recordSend(server)
            },
            Admitted(server)
        )
    }

    /** Gives back what a request of [account] did not use. */
    public fun refund(account: String, tokens: Double, nowMillis: Long): DispatchState =
        copy(limiter = limiter.deposit(account, tokens, nowMillis))

    /** Takes in the agreed [state]. */
    public fun applyControlState(state: ControlState, nowMillis: Long): DispatchState {
        val next = copy(ledger = state.ledger)
        return if (state.index === index) next else next.applyConfiguration(state.index, nowMillis)
    }

    /** Decides by [index] from now on. */
    public fun applyConfiguration(index: ConfigurationIndex, nowMillis: Long): DispatchState {
        val configuration = index.configuration
        val permits =
            ColdStartPermits.all(configuration.limits.rateSlots, configuration.backendServers)
        return copy(index = index, allColdStartPermits = permits)
            .applyLease(lease, emptySet(), nowMillis)
    }

    /** Changes what is known of the backend servers. */
    public fun withServers(change: (ServerViews) -> ServerViews): DispatchState =
        copy(servers = change(servers))

    /**
     * Uses the slots of [lease] from now on.
     *
     * @param newSlots those that were never held by anyone before.
     */
    public fun applyLease(lease: SlotLease, newSlots: Set<Int>, nowMillis: Long): DispatchState {
        val configuration = index.configuration
        val totalSlots = configuration.limits.rateSlots
        val usable = lease.usableSlots(nowMillis)
        return copy(
            lease = lease,
            coldStartPermits = allColdStartPermits.within(usable),
            limiter = limiter.applyLease(
                lease,
                totalSlots,
                configuration.clientAccounts,
                newSlots,
                nowMillis
            )
        )
    }

    /** Lends a cold-start permit for [server] to another instance, if one is free. */
    public fun lendPermit(server: String, nowMillis: Long): DispatchResult<Boolean> {
        val isCold = servers.view(server).warmth(nowMillis) != Warmth.WARM
        if (!isCold || freePermits(server, nowMillis) < 1) return DispatchResult(this, false)
        return DispatchResult(withServers { it.recordPermitLent(server) }, true)
    }

    /** How many more requests this instance may send to the cold [server]. */
    public fun freePermits(server: String, nowMillis: Long): Int {
        if (!limiter.isLeaseValid(nowMillis)) return 0
        val view = servers.view(server)
        return coldStartPermits.of(server) - (view.inFlight - view.borrowedPermits) -
            view.lentPermits
    }

    /** The slots whose cold-start permits are in use, so that they cannot be released now. */
    public fun slotsInUse(nowMillis: Long): Set<Int> = servers.names
        .filter { name ->
            val view = servers.view(name)
            view.warmth(nowMillis) != Warmth.WARM && view.inFlight + view.lentPermits > 0
        }
        .flatMap { coldStartPermits.slots(it) }
        .toSet()

    private fun charge(work: DispatchRequest, nowMillis: Long): DispatchState? {
        val account = work.account ?: return this
        val own = (work.reservedTokens - work.transferredTokens).coerceAtLeast(0.0)
        val spare = (work.transferredTokens - work.reservedTokens).coerceAtLeast(0.0)
        val taken = limiter.take(account, own, nowMillis) as? TakeResult.Taken ?: return null
        return copy(limiter = taken.limiter.deposit(account, spare, nowMillis))
    }

    private fun short(work: DispatchRequest, nowMillis: Long): DispatchResult<AdmissionDecision> {
        val level = limiter.availableTokens(work.account.orEmpty(), nowMillis)
        val missing = work.reservedTokens - work.transferredTokens - level
        return DispatchResult(keepCredit(work, nowMillis), InsufficientTokens(missing))
    }

    private fun keepCredit(work: DispatchRequest, nowMillis: Long): DispatchState {
        val account = work.account?.takeIf { work.transferredTokens > 0 } ?: return this
        return copy(limiter = limiter.deposit(account, work.transferredTokens, nowMillis))
    }
}
