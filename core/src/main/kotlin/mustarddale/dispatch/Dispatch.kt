/*
 * All that one instance decides by when a request arrives: the configuration in force, what the
 * memory ledger allows, its share of the rates, its part of the cold-start budgets, and what it
 * knows of the backend servers. It is a value; every operation gives the next one.
 */
package mustarddale.dispatch

import mustarddale.config.ConfigurationIndex
import mustarddale.control.ControlState
import mustarddale.dispatch.Admission.Admitted
import mustarddale.dispatch.Admission.ShortOfTokens
import mustarddale.memory.MemoryLedger
import mustarddale.rate.RateLimiter
import mustarddale.rate.RateVerdict
import mustarddale.rate.SlotLease
import mustarddale.routing.RoutePolicy
import mustarddale.routing.ShortestQueue
import mustarddale.routing.Warmth

/** The decision state of one instance. */
public data class Dispatch(
    public val index: ConfigurationIndex = ControlState.EMPTY.index,
    public val ledger: MemoryLedger = MemoryLedger(),
    public val limiter: RateLimiter = RateLimiter(),
    public val lease: SlotLease = SlotLease(),
    public val coldPermits: ColdPermits = ColdPermits.NONE,
    private val allColdPermits: ColdPermits = ColdPermits.NONE,
    public val servers: ServerViews = ServerViews(),
    public val policy: RoutePolicy = ShortestQueue
) {
    /** Decides on [work]; [draw] is a random number. */
    public fun admit(work: Work, nowMillis: Long, draw: Int): Decided<Admission> {
        val choice = Selection(this, nowMillis).choose(work, draw)
        if (choice !is Admitted) return Decided(keepCredit(work, nowMillis), choice)
        val charged = charge(work, nowMillis) ?: return short(work, nowMillis)
        return Decided(charged.withServers { it.send(choice.server) }, choice)
    }

    /** Sends [work] to the cold [server] on a permit that another instance lent. */
    public fun admitOnLoan(work: Work, server: String, nowMillis: Long): Decided<Admission> {
        val charged = charge(work, nowMillis) ?: return short(work, nowMillis)
        return Decided(charged.withServers { it.borrow(server).send(server) }, Admitted(server))
    }

    /** Gives back what a request of [account] did not use. */
    public fun refund(account: String, tokens: Double, nowMillis: Long): Dispatch =
        copy(limiter = limiter.put(account, tokens, nowMillis))

    /** Takes in the agreed [state]. */
    public fun control(state: ControlState, nowMillis: Long): Dispatch {
        val next = copy(ledger = state.ledger)
        return if (state.index === index) next else next.configure(state.index, nowMillis)
    }

    /** Decides by [index] from now on. */
    public fun configure(index: ConfigurationIndex, nowMillis: Long): Dispatch {
        val configuration = index.configuration
        val permits =
            ColdPermits.all(configuration.limits.rateSlots, configuration.backendServers)
        return copy(index = index, allColdPermits = permits)
            .resize(lease, emptySet(), nowMillis)
    }

    /** Changes what is known of the backend servers. */
    public fun withServers(change: (ServerViews) -> ServerViews): Dispatch =
        copy(servers = change(servers))

    /**
     * Uses the slots of [lease] from now on.
     *
     * @param freshSlots those that were never held by anyone before.
     */
    public fun resize(lease: SlotLease, freshSlots: Set<Int>, nowMillis: Long): Dispatch {
        val configuration = index.configuration
        val totalSlots = configuration.limits.rateSlots
        val usable = lease.usable(nowMillis)
        return copy(
            lease = lease,
            coldPermits = allColdPermits.within(usable),
            limiter = limiter.resize(
                lease,
                totalSlots,
                configuration.clientAccounts,
                freshSlots,
                nowMillis
            )
        )
    }

    /** Lends a cold-start permit for [server] to another instance, if one is free. */
    public fun lendPermit(server: String, nowMillis: Long): Decided<Boolean> {
        val isCold = servers.view(server).warmth(nowMillis) != Warmth.WARM
        if (!isCold || freePermits(server, nowMillis) < 1) return Decided(this, false)
        return Decided(withServers { it.lend(server) }, true)
    }

    /** How many more requests this instance may send to the cold [server]. */
    public fun freePermits(server: String, nowMillis: Long): Int {
        if (!limiter.isValid(nowMillis)) return 0
        val view = servers.view(server)
        return coldPermits.of(server) - (view.inFlight - view.borrowedPermits) - view.lentPermits
    }

    /** The slots whose cold-start permits are in use, so that they cannot be released now. */
    public fun slotsInUse(nowMillis: Long): Set<Int> = servers.names
        .filter { name ->
            val view = servers.view(name)
            view.warmth(nowMillis) != Warmth.WARM && view.inFlight + view.lentPermits > 0
        }
        .flatMap { coldPermits.slots(it) }
        .toSet()

    private fun charge(work: Work, nowMillis: Long): Dispatch? {
        val account = work.account ?: return this
        val own = (work.reservedTokens - work.creditTokens).coerceAtLeast(0.0)
        val spare = (work.creditTokens - work.reservedTokens).coerceAtLeast(0.0)
        val taken = limiter.take(account, own, nowMillis) as? RateVerdict.Taken ?: return null
        return copy(limiter = taken.limiter.put(account, spare, nowMillis))
    }

    private fun short(work: Work, nowMillis: Long): Decided<Admission> {
        val level = limiter.level(work.account.orEmpty(), nowMillis)
        val missing = work.reservedTokens - work.creditTokens - level
        return Decided(keepCredit(work, nowMillis), ShortOfTokens(missing))
    }

    private fun keepCredit(work: Work, nowMillis: Long): Dispatch {
        val account = work.account?.takeIf { work.creditTokens > 0 } ?: return this
        return copy(limiter = limiter.put(account, work.creditTokens, nowMillis))
    }
}
