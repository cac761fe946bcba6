/*
 * All that one instance decides by when a request arrives: the configuration in force, what the
 * memory ledger allows, its share of the rates, its part of the cold-start budgets, and what it
 * knows of the backend servers. It is a value; every operation gives the next one.
 */
package mustarddale.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import mustarddale.config.BackendServer
import mustarddale.config.ConfigurationIndex
import mustarddale.control.ControlState
import mustarddale.dispatch.Admission.Admitted
import mustarddale.dispatch.Admission.NeedsPermit
import mustarddale.dispatch.Admission.NotResident
import mustarddale.dispatch.Admission.Refused
import mustarddale.dispatch.Admission.ShortOfTokens
import mustarddale.error.ErrorKind
import mustarddale.error.Refusal
import mustarddale.memory.MemoryLedger
import mustarddale.memory.Residency
import mustarddale.rate.RateLimiter
import mustarddale.rate.RateVerdict
import mustarddale.rate.SlotLease
import mustarddale.routing.Candidate
import mustarddale.routing.LoadReport
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
    public val policy: RoutePolicy = ShortestQueue,
    private val servers: PersistentMap<String, ServerView> = persistentMapOf()
) {
    /** What is known of the backend server called [name]. */
    public fun view(name: String): ServerView = servers[name] ?: ServerView()

    /** Decides on [work]; [draw] is a random number. */
    public fun admit(work: Work, nowMillis: Long, draw: Int): Decided<Admission> {
        val choice = choose(work, nowMillis, draw)
        if (choice !is Admitted) return Decided(keepCredit(work, nowMillis), choice)
        return charge(work, nowMillis) { it.send(choice.server) }
            ?.let { Decided(it, choice) }
            ?: short(work, nowMillis)
    }

    /** Notes that a request to [server] has ended. */
    public fun finish(server: String): Dispatch = update(server) {
        val stillInFlight = (it.inFlight - 1).coerceAtLeast(0)
        it.copy(
            inFlight = stillInFlight,
            borrowedPermits = minOf(it.borrowedPermits, stillInFlight)
        )
    }

    /** Notes that a connection to [server] failed. */
    public fun fail(server: String, nowMillis: Long): Dispatch = update(server) {
        it.distrust(nowMillis).copy(suspectUntilMillis = nowMillis + SUSPECT_MILLIS)
    }

    /** Gives back what a request of [account] did not use. */
    public fun refund(account: String, tokens: Double, nowMillis: Long): Dispatch =
        copy(limiter = limiter.put(account, tokens, nowMillis))

    /** Takes in a load report. */
    public fun report(report: LoadReport, nowMillis: Long): Dispatch =
        update(report.server) { it.take(report, nowMillis) }

    /** Takes in the agreed [state]. */
    public fun control(state: ControlState, nowMillis: Long): Dispatch {
        val next = copy(index = state.index, ledger = state.ledger)
        return if (state.index === index) next else next.resize(lease, 0, nowMillis)
    }

    /**
     * Uses the slots of [lease] from now on.
     *
     * @param unheldBefore how many of them were never held by anyone.
     */
    public fun resize(lease: SlotLease, unheldBefore: Int, nowMillis: Long): Dispatch {
        val usable = lease.usable(nowMillis)
        val totalSlots = index.configuration.limits.rateSlots
        return copy(
            lease = lease,
            coldPermits = ColdPermits.of(usable, totalSlots, index.configuration.backendServers),
            limiter = limiter.resize(
                heldSlots = usable.size,
                totalSlots = totalSlots,
                accounts = index.configuration.clientAccounts,
                unheldBefore = unheldBefore,
                nowMillis = nowMillis
            )
        )
    }

    /** Lends a cold-start permit for [server] to another instance, if one is free. */
    public fun lendPermit(server: String, nowMillis: Long): Decided<Boolean> {
        val view = view(server)
        val isCold = view.warmth(nowMillis) != Warmth.WARM
        if (!isCold || freePermits(server, view) < 1) return Decided(this, false)
        return Decided(update(server) { it.copy(lentPermits = it.lentPermits + 1) }, true)
    }

    /** Takes a permit for [server] back. */
    public fun returnPermit(server: String): Dispatch = update(server) {
        it.copy(lentPermits = (it.lentPermits - 1).coerceAtLeast(0))
    }

    /** Sends [work] to the cold [server] on a permit that another instance lent. */
    public fun admitOnLoan(work: Work, server: String, nowMillis: Long): Decided<Admission> {
        val admitted = charge(work, nowMillis) { state ->
            state.update(server) { it.copy(borrowedPermits = it.borrowedPermits + 1) }.send(server)
        }
        return admitted?.let { Decided(it, Admitted(server)) } ?: short(work, nowMillis)
    }

    private inline fun charge(
        work: Work,
        nowMillis: Long,
        then: (Dispatch) -> Dispatch
    ): Dispatch? {
        val account = work.account ?: return then(this)
        val own = (work.reservedTokens - work.creditTokens).coerceAtLeast(0.0)
        val spare = (work.creditTokens - work.reservedTokens).coerceAtLeast(0.0)
        val taken = limiter.take(account, own, nowMillis) as? RateVerdict.Taken ?: return null
        return then(copy(limiter = taken.limiter.put(account, spare, nowMillis)))
    }

    private fun short(work: Work, nowMillis: Long): Decided<Admission> {
        val account = work.account.orEmpty()
        val level = limiter.level(account, nowMillis)
        val missing = work.reservedTokens - work.creditTokens - level
        return Decided(keepCredit(work, nowMillis), ShortOfTokens(missing))
    }

    private fun keepCredit(work: Work, nowMillis: Long): Dispatch {
        val account = work.account?.takeIf { work.creditTokens > 0 } ?: return this
        return copy(limiter = limiter.put(account, work.creditTokens, nowMillis))
    }

    /** The slots whose cold-start permits are in use, so that they cannot be released now. */
    public fun slotsInUse(nowMillis: Long): Set<Int> = servers
        .filterValues { it.warmth(nowMillis) != Warmth.WARM && it.inFlight + it.lentPermits > 0 }
        .keys
        .flatMap { coldPermits.slots(it) }
        .toSet()

    private fun choose(work: Work, nowMillis: Long, draw: Int): Admission {
        val available = index.servers(work.service)
            .filter { index.isAvailable(it) && it.name !in work.excludedServers }
        if (available.isEmpty()) return refused(ErrorKind.NO_BACKEND, "no backend server is in")
        val candidates = available.map { candidate(it, work, nowMillis) }
        val resident = candidates.filter { it.hasModel }
        if (resident.isEmpty()) return NotResident(work.service, work.model.orEmpty())
        val withAdapter = resident.filter { it.hasAdapter }
        if (withAdapter.isEmpty()) return NotResident(work.service, work.adapter.orEmpty())
        val healthy = withAdapter.filterNot { view(it.server.name).isSuspect(nowMillis) }
        val usable = healthy.ifEmpty { withAdapter }
        val open = usable.filter { hasRoom(it) }
        val chosen = policy.choose(open, draw)
        return if (chosen != null) Admitted(chosen.server.name) else noRoom(usable)
    }

    private fun noRoom(candidates: List<Candidate>): Admission {
        val cold = candidates.filter { it.warmth != Warmth.WARM }
        if (cold.isNotEmpty()) return NeedsPermit(cold.map { it.server.name })
        return refused(ErrorKind.OVERLOADED, "all backend servers are full")
    }

    private fun hasRoom(candidate: Candidate): Boolean {
        val server = candidate.server
        if (candidate.warmth != Warmth.WARM) {
            return freePermits(server.name, view(server.name)) >= 1
        }
        val queue = maxOf(candidate.reportedQueue + candidate.sentSinceReport, candidate.inFlight)
        return queue < server.maxInFlight
    }

    private fun freePermits(server: String, view: ServerView): Int {
        val ownInFlight = view.inFlight - view.borrowedPermits
        return coldPermits.of(server) - ownInFlight - view.lentPermits
    }

    private fun candidate(server: BackendServer, work: Work, nowMillis: Long): Candidate {
        val view = view(server.name)
        val report = view.report
        val isPlain = work.model == null
        return Candidate(
            server = server,
            warmth = if (isPlain && report == null) Warmth.WARM else view.warmth(nowMillis),
            reportedQueue = report?.let { it.running + it.waiting } ?: 0,
            sentSinceReport = view.sentSinceReport,
            inFlight = view.inFlight,
            hasModel = work.model == null || isReady(server, work.model, view),
            hasAdapter = work.adapter == null || isReady(server, work.adapter, view)
        )
    }

    private fun isReady(server: BackendServer, artifact: String, view: ServerView): Boolean {
        val isLeaving = ledger.find(server.name, artifact)?.residency == Residency.UNLOADING
        return !isLeaving && view.report?.ready.orEmpty().contains(artifact)
    }

    private fun send(server: String): Dispatch = update(server) {
        it.copy(inFlight = it.inFlight + 1, sentSinceReport = it.sentSinceReport + 1)
    }

    private fun update(server: String, change: (ServerView) -> ServerView): Dispatch =
        copy(servers = servers.put(server, change(view(server))))

    private fun refused(kind: ErrorKind, message: String): Refused =
        Refused(Refusal(kind, message, retryAfterMillis = RETRY_AFTER_MILLIS))

    private companion object {
        const val SUSPECT_MILLIS = 1_000L
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
