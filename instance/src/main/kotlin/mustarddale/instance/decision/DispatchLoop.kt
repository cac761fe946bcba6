/*
 * The one thread that owns the dispatch state. Requests, load reports, peer messages and changes of
 * the control state reach it as events; it answers through futures. While its queue is full, new
 * requests are rejected at once.
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

/** Admits and routes requests by a [DispatchState] that only its own thread changes. */
public class DispatchLoop(private val clock: Clock, private val random: RandomGenerator) :
    AutoCloseable {
    @Volatile
    private var current = DispatchState()
    private val worker = Duty("decision", QUEUE_CAPACITY, ::handle)

    /** The newest state, readable from any thread. */
    public val state: DispatchState get() = current

    /** Decides whether [request] is admitted, and to which backend server it goes. */
    public fun admit(request: DispatchRequest): CompletableFuture<AdmissionDecision> =
        submit(OVERLOADED) { Event.Admit(request, it) }

    /** Decides whether [request] is admitted to the cold [server] on a permit of a peer. */
    public fun admitWithBorrowedPermit(
        request: DispatchRequest,
        server: String
    ): CompletableFuture<AdmissionDecision> =
        submit(OVERLOADED) { Event.AdmitWithBorrowedPermit(request, server, it) }

    /** Withdraws up to [tokens] of [account] for a peer; returns the number withdrawn. */
    public fun withdrawTokens(account: String, tokens: Double): CompletableFuture<Double> =
        submit(0.0) { Event.WithdrawTokens(account, tokens, it) }

    /** Lends a peer a permit for a request to the cold [server]; false if none is free. */
    public fun lendPermit(server: String): CompletableFuture<Boolean> =
        submit(false) { Event.LendPermit(server, it) }

    /**
     * Uses the rate slots of [lease] from now on; the future completes when it does.
     *
     * @param newSlots slots of [lease] claimed for the first time by any instance.
     */
    public fun applyLease(lease: SlotLease, newSlots: Set<Int>): CompletableFuture<Boolean> =
        submit(false) { Event.ApplyLease(lease, newSlots, it) }

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
                val result = current.admit(event.request, nowMillis, random.nextInt(Int.MAX_VALUE))
                current = result.state
                event.answer.complete(result.decision)
            }

            is Event.AdmitWithBorrowedPermit -> {
                val result = current.admitWithBorrowedPermit(event.request, event.server, nowMillis)
                current = result.state
                event.answer.complete(result.decision)
            }

            is Event.WithdrawTokens -> {
                val granted = current.limiter.withdrawUpTo(event.account, event.tokens, nowMillis)
                current = current.copy(limiter = granted.limiter)
                event.answer.complete(granted.tokens)
            }

            is Event.LendPermit -> {
                val result = current.lendPermit(event.server, nowMillis)
                current = result.state
                event.answer.complete(result.decision)
            }

            is Event.ApplyLease -> {
                current = current.applyLease(event.lease, event.newSlots, nowMillis)
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

        /** A response of [server] said that it is cold, so only few requests may be sent to it. */
        public data class ServerCold(public val server: String) : Update

        /** A connection to [server] failed. */
        public data class ConnectionFailed(public val server: String) : Update

        /** A request did not use [tokens] of [account], or a peer granted them. */
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
        class Admit(
            val request: DispatchRequest,
            val answer: CompletableFuture<AdmissionDecision>
        ) : Event

        class AdmitWithBorrowedPermit(
            val request: DispatchRequest,
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
            val newSlots: Set<Int>,
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
