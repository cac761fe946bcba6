/*
 * The one thread that owns the dispatch state. Requests, reports, peers and the control state reach
 * it as events; it answers through futures. A full ring refuses a request at once.
 */
package mustarddale.instance.decision

import java.util.concurrent.CompletableFuture
import java.util.random.RandomGenerator
import mustarddale.control.ControlState
import mustarddale.dispatch.Admission
import mustarddale.dispatch.Dispatch
import mustarddale.dispatch.Work
import mustarddale.error.ErrorKind
import mustarddale.error.Refusal
import mustarddale.instance.duty.Duty
import mustarddale.rate.SlotLease
import mustarddale.routing.LoadReport
import mustarddale.time.Clock

/** Decides on requests by a [Dispatch] that only its own thread changes. */
public class DispatchLoop(private val clock: Clock, private val random: RandomGenerator) :
    AutoCloseable {
    @Volatile
    private var current = Dispatch()
    private val duty = Duty("decision", RING_CAPACITY, ::handle)

    /** The newest state, to look at. */
    public val state: Dispatch get() = current

    /** Decides on [work]. */
    public fun admit(work: Work): CompletableFuture<Admission> =
        ask(OVERLOADED) { Event.Admit(work, it) }

    /** Decides on [work] for the cold [server], on a permit that a peer lent. */
    public fun admitWithLentPermit(work: Work, server: String): CompletableFuture<Admission> =
        ask(OVERLOADED) { Event.AdmitWithLentPermit(work, server, it) }

    /** Takes tokens out for a peer. */
    public fun withdrawTokens(account: String, tokens: Double): CompletableFuture<Double> =
        ask(0.0) { Event.WithdrawTokens(account, tokens, it) }

    /** Lends a cold-start permit to a peer. */
    public fun lendPermit(server: String): CompletableFuture<Boolean> =
        ask(false) { Event.LendPermit(server, it) }

    /** Uses the slots of [lease] from now on; the future ends when it does. */
    public fun applyLease(lease: SlotLease, freshSlots: Set<Int>): CompletableFuture<Boolean> =
        ask(false) { Event.ApplyLease(lease, freshSlots, it) }

    /** Tells of something that happened and needs no answer. */
    public fun post(update: Update): Boolean = duty.offer(Event.Posted(update))

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

            is Event.AdmitWithLentPermit -> {
                val decided = current.admitOnLoan(event.work, event.server, now)
                current = decided.state
                event.answer.complete(decided.decision)
            }

            is Event.WithdrawTokens -> {
                val given = current.limiter.give(event.account, event.tokens, now)
                current = current.copy(limiter = given.limiter)
                event.answer.complete(given.tokens)
            }

            is Event.LendPermit -> {
                val decided = current.lendPermit(event.server, now)
                current = decided.state
                event.answer.complete(decided.decision)
            }

            is Event.ApplyLease -> {
                current = current.resize(event.lease, event.freshSlots, now)
                event.answer.complete(true)
            }

            is Event.Posted -> current = apply(event.update, now)
        }
    }

    private fun apply(update: Update, now: Long): Dispatch = when (update) {
        is Update.RequestFinished -> current.withServers { it.finish(update.server) }
        is Update.ConnectionFailed -> current.withServers { it.fail(update.server, now) }
        is Update.ServerCold -> current.withServers { it.chill(update.server, now) }
        is Update.LoadReported -> current.withServers { it.report(update.report, now) }
        is Update.PermitReturned -> current.withServers { it.takeBack(update.server) }
        is Update.TokensReturned -> current.refund(update.account, update.tokens, now)
        is Update.ControlStateChanged -> current.control(update.state, now)
    }

    /** Something that happened. */
    public sealed interface Update {
        /** A request to [server] has ended. */
        public data class RequestFinished(public val server: String) : Update

        /** An answer of [server] said that it is cold. */
        public data class ServerCold(public val server: String) : Update

        /** A connection to [server] failed. */
        public data class ConnectionFailed(public val server: String) : Update

        /** A request of [account] did not use [tokens], or a peer gave them. */
        public data class TokensReturned(public val account: String, public val tokens: Double) :
            Update

        /** A load report came. */
        public data class LoadReported(public val report: LoadReport) : Update

        /** The agreed state moved on. */
        public data class ControlStateChanged(public val state: ControlState) : Update

        /** A peer gave back its permit for [server]. */
        public data class PermitReturned(public val server: String) : Update
    }

    private sealed interface Event {
        class Admit(val work: Work, val answer: CompletableFuture<Admission>) : Event

        class AdmitWithLentPermit(
            val work: Work,
            val server: String,
            val answer: CompletableFuture<Admission>
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
        const val RING_CAPACITY = 8_192
        const val RETRY_AFTER_MILLIS = 1_000L
        val OVERLOADED = Admission.Refused(
            Refusal(
                ErrorKind.OVERLOADED,
                "this instance has too many requests to decide on",
                retryAfterMillis = RETRY_AFTER_MILLIS
            )
        )
    }
}
