/*
 * The one thread that owns the dispatch state. Requests, reports, peers and the control state reach
 * it as events; it answers through futures. A full ring refuses a request at once.
 */
package mustarddale.instance.decision

import java.util.concurrent.CompletableFuture
import java.util.random.RandomGenerator
import mustarddale.control.ControlState
import mustarddale.dispatch.AdmissionDecision
import mustarddale.dispatch.DispatchRequest
import mustarddale.dispatch.DispatchState
import mustarddale.error.ErrorKind
import mustarddale.error.Refusal
import mustarddale.instance.duty.Duty
import mustarddale.rate.SlotLease
import mustarddale.routing.LoadReport
import mustarddale.time.Clock

/** Decides on requests by a [DispatchState] that only its own thread changes. */
public class DecisionDuty(private val clock: Clock, private val random: RandomGenerator) :
    AutoCloseable {
    @Volatile
    private var current = DispatchState()
    private val duty = Duty("decision", RING_CAPACITY, ::handle)

    /** The newest state, to look at. */
    public val state: DispatchState get() = current

    /** Decides on [work]. */
    public fun admit(work: DispatchRequest): CompletableFuture<AdmissionDecision> =
        ask(OVERLOADED) { Event.Admit(work, it) }

    /** Decides on [work] for the cold [server], on a permit that a peer lent. */
    public fun admitOnLoan(
        work: DispatchRequest,
        server: String
    ): CompletableFuture<AdmissionDecision> =
        ask(OVERLOADED) { Event.AdmitOnLoan(work, server, it) }

    /** Takes tokens out for a peer. */
    public fun give(account: String, tokens: Double): CompletableFuture<Double> =
        ask(0.0) { Event.Give(account, tokens, it) }

    /** Lends a cold-start permit to a peer. */
    public fun lendPermit(server: String): CompletableFuture<Boolean> =
        ask(false) { Event.LendPermit(server, it) }

    /** Uses the slots of [lease] from now on; the future ends when it does. */
    public fun resize(lease: SlotLease, freshSlots: Set<Int>): CompletableFuture<Boolean> =
        ask(false) { Event.Resize(lease, freshSlots, it) }

    /** Tells of something that happened and needs no answer. */
    public fun tell(news: News): Boolean = duty.offer(Event.Told(news))

    override fun close() {
        duty.close()
    }

    private fun <T> ask(whenFull: T, event: (CompletableFuture<T>) -> Event): CompletableFuture<T> {
        val answer = CompletableFuture<T>()
        if (!duty.offer(event(answer))) answer.complete(whenFull)
        return answer
    }

    private fun handle(event: Event) {
        val now = clock.monotonicMillis()
        when (event) {
            is Event.Admit -> {
                val decided = current.admit(event.work, now, random.nextInt(Int.MAX_VALUE))
                current = decided.state
                event.answer.complete(decided.decision)
            }

            is Event.AdmitOnLoan -> {
                val decided = current.admitWithBorrowedPermit(event.work, event.server, now)
                current = decided.state
                event.answer.complete(decided.decision)
            }

            is Event.Give -> {
                val given = current.limiter.withdrawUpTo(event.account, event.tokens, now)
                current = current.copy(limiter = given.limiter)
                event.answer.complete(given.tokens)
            }

            is Event.LendPermit -> {
                val decided = current.lendPermit(event.server, now)
                current = decided.state
                event.answer.complete(decided.decision)
            }

            is Event.Resize -> {
                current = current.applyLease(event.lease, event.freshSlots, now)
                event.answer.complete(true)
            }

            is Event.Told -> current = told(event.news, now)
        }
    }

    private fun told(news: News, now: Long): DispatchState = when (news) {
        is News.Finished -> current.withServers { it.recordFinish(news.server) }
        is News.Failed -> current.withServers { it.recordConnectionFailure(news.server, now) }
        is News.Chilled -> current.withServers { it.recordColdResponse(news.server, now) }
        is News.Reported -> current.withServers { it.applyReport(news.report, now) }
        is News.PermitReturned -> current.withServers { it.recordPermitReturned(news.server) }
        is News.Refunded -> current.refund(news.account, news.tokens, now)
        is News.Controlled -> current.applyControlState(news.state, now)
    }

    /** Something that happened. */
    public sealed interface News {
        /** A request to [server] has ended. */
        public data class Finished(public val server: String) : News

        /** An answer of [server] said that it is cold. */
        public data class Chilled(public val server: String) : News

        /** A connection to [server] failed. */
        public data class Failed(public val server: String) : News

        /** A request of [account] did not use [tokens], or a peer gave them. */
        public data class Refunded(public val account: String, public val tokens: Double) : News

        /** A load report came. */
        public data class Reported(public val report: LoadReport) : News

        /** The agreed state moved on. */
        public data class Controlled(public val state: ControlState) : News

        /** A peer gave back its permit for [server]. */
        public data class PermitReturned(public val server: String) : News
    }

    private sealed interface Event {
        class Admit(val work: DispatchRequest, val answer: CompletableFuture<AdmissionDecision>) :
            Event

        class AdmitOnLoan(
            val work: DispatchRequest,
            val server: String,
            val answer: CompletableFuture<AdmissionDecision>
        ) : Event

        class Give(val account: String, val tokens: Double, val answer: CompletableFuture<Double>) :
            Event

        class LendPermit(val server: String, val answer: CompletableFuture<Boolean>) : Event

        class Resize(
            val lease: SlotLease,
            val freshSlots: Set<Int>,
            val answer: CompletableFuture<Boolean>
        ) : Event

        class Told(val news: News) : Event
    }

    private companion object {
        const val RING_CAPACITY = 8_192
        const val RETRY_AFTER_MILLIS = 1_000L
        val OVERLOADED = AdmissionDecision.Refused(
            Refusal(
                ErrorKind.OVERLOADED,
                "this instance has too many requests to decide on",
                retryAfterMillis = RETRY_AFTER_MILLIS
            )
        )
    }
}
