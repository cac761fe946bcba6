/*
 * The one thread that owns the dispatch state. Requests, load reports, peers and the control state
 * reach it as events, and it answers through futures. When its queue is full, it rejects a request
 * at once.
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

/** Admits and routes requests by a [DispatchState] state that only its own thread changes. */
public class DispatchLoop(private val clock: Clock, private val random: RandomGenerator) :
    AutoCloseable {
    @Volatile
    private var current = DispatchState()
    private val worker = Duty("decision", QUEUE_CAPACITY, ::handle)

    /** The newest state, readable from any thread. */
    public val state: DispatchState get() = current

    /** Decides whether [work] is admitted, and to which backend server it goes. */
    public fun admit(work: DispatchRequest): CompletableFuture<AdmissionDecision> =
        submit(OVERLOADED) { Event.Admit(work, it) }

    /** Decides whether [work] is admitted to the cold [server], on a permit that a peer lent. */
    public fun admitWithLentPermit(
        work: DispatchRequest,
        server: String
    ): CompletableFuture<AdmissionDecision> =
        submit(OVERLOADED) { Event.AdmitWithLentPermit(work, server, it) }

    /** Withdraws up to [tokens] of [account] for a peer; returns how many. */
    public fun withdrawTokens(account: String, tokens: Double): CompletableFuture<Double> =
        submit(0.0) { Event.WithdrawTokens(account, tokens, it) }

    /** Lends a peer a permit for a request to the cold [server]; false if none is free. */
    public fun lendPermit(server: String): CompletableFuture<Boolean> =
        submit(false) { Event.LendPermit(server, it) }

    /**
     * Uses the rate slots of [lease] from now on; the future completes when it does.
     *
     * @param freshSlots the slots of [lease] that no instance has held before.
     */
    public fun applyLease(lease: SlotLease, freshSlots: Set<Int>): CompletableFuture<Boolean> =
        submit(false) { Event.ApplyLease(lease, freshSlots, it) }

    /** Posts an update that needs no answer; false if the queue is full. */
    public fun post(update: Update): Boolean = worker.offer(Event.Posted(update))

    override fun close() {
        worker.close()
    }

    private fun <T> submit(
        whenFull: T,
        event: (CompletableFuture<T>) -> Event
    ): CompletableFuture<T> {
        val answer = CompletableFuture<T>()
        if (!worker.offer(event(answer))) answer.complete(whenFull)
        return answer
    }

    private fun handle(event: Event) {
        val nowMillis = clock.monotonicMillis()
        when (event) {
            is Event.Admit -> {
                val decided = current.admit(event.work, nowMillis, random.nextInt(Int.MAX_VALUE))
                current = decided.state
                event.answer.complete(decided.decision)
            }

            is Event.AdmitWithLentPermit -> {
                val decided = current.admitWithBorrowedPermit(event.work, event.server, nowMillis)
                current = decided.state
                event.answer.complete(decided.decision)
            }

            is Event.WithdrawTokens -> {
                val given = current.limiter.withdrawUpTo(event.account, event.tokens, nowMillis)
                current = current.copy(limiter = given.limiter)
                event.answer.complete(given.tokens)
            }

            is Event.LendPermit -> {
                val decided = current.lendPermit(event.server, nowMillis)
                current = decided.state
                event.answer.complete(decided.decision)
            }

            is Event.ApplyLease -> {
                current = current.applyLease(event.lease, event.freshSlots, nowMillis)
                event.answer.complete(true)
            }

            is Event.Posted -> current = apply(event.update, nowMillis)
        }
    }

    private fun apply(update: Update, nowMillis: Long): DispatchState = when (update) {
        is Update.RequestFinished -> current.withServers { it.recordFinish(update.server) }
        is Update.ConnectionFailed -> current.withServers {
            it.recordConnectionFailure(update.server, nowMillis)
        }
        is Update.ServerCold -> current.withServers {
            it.recordColdResponse(update.server, nowMillis)
        }
        is Update.LoadReported -> current.withServers { it.applyReport(update.report, nowMillis) }
        is Update.PermitReturned -> current.withServers { it.recordPermitReturned(update.server) }
        is Update.TokensReturned -> current.refund(update.account, update.tokens, nowMillis)
        is Update.ControlStateChanged -> current.applyControlState(update.state, nowMillis)
    }

    /** An event that changes the dispatch state and needs no answer. */
    public sealed interface Update {
        /** A request to [server] has ended. */
        public data class RequestFinished(public val server: String) : Update

        /** A response of [server] said that it is cold, so it takes few requests. */
        public data class ServerCold(public val server: String) : Update

        /** A connection to [server] failed. */
        public data class ConnectionFailed(public val server: String) : Update

        /** [tokens] of [account] were not used by a request, or came from a peer. */
        public data class TokensReturned(public val account: String, public val tokens: Double) :
            Update

        /** A load report was received. */
        public data class LoadReported(public val report: LoadReport) : Update

        /** The replicated control state has changed. */
        public data class ControlStateChanged(public val state: ControlState) : Update

        /** A peer has returned its permit for [server]. */
        public data class PermitReturned(public val server: String) : Update
    }

    private sealed interface Event {
        class Admit(val work: DispatchRequest, val answer: CompletableFuture<AdmissionDecision>) :
            Event

        class AdmitWithLentPermit(
            val work: DispatchRequest,
            val server: String,
            val answer: CompletableFuture<AdmissionDecision>
        ) : Event

        class WithdrawTokens(
            val account: String,
            val tokens: Double,
            val answer: CompletableFuture<Double>
        ) : Event

        class LendPermit(val server: String, val answer: CompletableFuture<Boolean>) : Event

        class ApplyLease(
            val lease: SlotLease,
            val freshSlots: Set<Int>,
            val answer: CompletableFuture<Boolean>
        ) : Event

        class Posted(val update: Update) : Event
    }

    private companion object {
        const val QUEUE_CAPACITY = 8_192
        const val RETRY_AFTER_MILLIS = 1_000L
        val OVERLOADED = AdmissionDecision.Refused(
            Refusal(
                ErrorKind.OVERLOADED,
                "this instance has too many requests waiting for admission",
                retryAfterMillis = RETRY_AFTER_MILLIS
            )
        )
    }
}
