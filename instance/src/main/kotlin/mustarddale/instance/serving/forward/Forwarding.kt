/*
 * One request on its way: the servers that it was sent to, what became of it there, and what its
 * caller has got so far.
 */
package mustarddale.instance.serving.forward

import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.error.ErrorKind
import mustarddale.error.Refusal
import mustarddale.instance.serving.protocol.BackendAttempt
import mustarddale.instance.serving.state.Awaited
import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.BackendLoad
import mustarddale.serving.backend.Choice
import mustarddale.serving.backend.Ending
import mustarddale.serving.config.Repeatability
import mustarddale.serving.residency.AbsentModelDecision
import mustarddale.serving.residency.AbsentModelPolicy
import mustarddale.serving.residency.AbsentModelRequest

/** Forwards [request] for [forwarder] and writes its answer to [writer]. */
internal class Forwarding(
    forwarder: Forwarder,
    private val request: Admitted,
    private val writer: AnswerWriter
) {
    private val state = forwarder.state
    private val choice = forwarder.choice
    private val exchange = forwarder.exchange
    private val protocol = forwarder.protocol
    private val homeDomain = forwarder.homeDomain
    private val clock = forwarder.clock
    private val excluded = HashSet<String>()
    private var runs = 0
    private var mayBeRunning = false
    private val relay = AnswerRelay(request, writer, protocol)
    private val log = RequestLog(request, state.configuration?.version, clock)

    suspend fun run() {
        request.head.requestedModel?.let {
            state.wanted(Awaited(request.service, it), request.head.outputTokens)
        }
        state.budgetOf(request.service).requested(clock.monotonicMillis())
        while (true) {
            val chosen = choose() ?: return
            val isDone = attempt(chosen)
            if (isDone) return
            excluded += chosen.backend.id
        }
    }

    private suspend fun choose(): Choice.Chosen? {
        while (true) {
            val nowMillis = clock.monotonicMillis()
            val wanted = request.head.requestedModel
            val candidates = state.candidates(request.service, wanted)
            val made = choice.choose(candidates, wanted, excluded, homeDomain, nowMillis)
            when (made) {
                is Choice.Chosen -> {
                    if (log.arrivals == 0 || mayRetry(nowMillis)) return made
                    refuseOrFail("retry budget is used up")
                    return null
                }

                Choice.NotResident -> if (!awaitModel(nowMillis)) return null

                Choice.Full -> {
                    refuseOrFail(
                        "all servers with ${wanted ?: "the service"} are full or suspected"
                    )
                    return null
                }

                Choice.NoBackend -> {
                    refuseOrFail("the service has no server")
                    return null
                }
            }
        }
    }

    private fun mayRetry(nowMillis: Long): Boolean =
        state.budgetOf(request.service).tryRetry(state.instanceCount, nowMillis)

    private suspend fun awaitModel(nowMillis: Long): Boolean {
        val awaited = Awaited(request.service, checkNotNull(request.head.requestedModel))
        if (!state.modelWaiters.hasRoom(MAX_WAITING)) {
            refuseOrFail("too many requests wait for models")
            return false
        }
        val expectedAtMillis = state.expectedAtMillis(request.service, awaited.wanted.model)
        val absent = absentModel(awaited)
        val decision = AbsentModelPolicy.decide(absent, expectedAtMillis, nowMillis)
        if (decision is AbsentModelDecision.Wait && !state.modelWaiters.isClosed) {
            state.onUrgentDemand()
            val waitMillis = minOf(decision.untilMillis - nowMillis, RECHECK_MILLIS)
            withTimeoutOrNull(waitMillis.coerceAtLeast(1)) { state.modelWaiters.await(awaited) }
            log.waitedMillis += clock.monotonicMillis() - nowMillis
            return true
        }
        val expected = expectedAtMillis?.let { "expected in ${it - nowMillis} ms" } ?: "not ordered"
        val retryMillis = (decision as? AbsentModelDecision.ComeBack)?.let {
            it.retryAfterMillis + spread(MODEL_RETRY_SPREAD_MILLIS)
        }
        retryMillis?.let { state.modelWaiters.comesBack(awaited, nowMillis + it) }
        refuseOrFail("model ${awaited.wanted} is absent, $expected", retryMillis)
        state.onUrgentDemand()
        return false
    }

    private fun absentModel(awaited: Awaited) = AbsentModelRequest(
        arrivedAtMillis = request.arrivedAtMillis,
        callerLeavesAtMillis = request.callerLeavesAtMillis,
        targetMillis = request.route.targetMillis,
        lacksAdapterOnly = awaited.wanted.adapter != null &&
            state.candidates(request.service, awaited.wanted)
                .any { awaited.wanted.model in it.backend.models }
    )

    /** Sends the request to the server [chosen]; true if the caller has its final answer. */
    private suspend fun attempt(chosen: Choice.Chosen): Boolean {
        val backend = chosen.backend
        val load = state.loadOf(backend)
        val sentMillis = clock.monotonicMillis()
        val toldAgeMillis = load.toldAgeMillis(sentMillis)
        load.sent(sentMillis)
        mayBeRunning = true
        // Whoever cancels the request does not speak against the server.
        var ending = Ending.GOOD
        try {
            val headers = protocol.backendHeaders(request.headers, backendAttempt(backend))
            val start =
                exchange.send(backend.address, request.head.requestId, headers, request.body)
            log.sent(chosen, toldAgeMillis, start, sentMillis)
            val attempt = settle(backend, load, start)
            ending = attempt.ending
            return attempt.isFinal
        } finally {
            load.ended(ending, clock.monotonicMillis())
        }
    }

    private data class Attempt(val ending: Ending, val isFinal: Boolean)

    private suspend fun settle(backend: Backend, load: BackendLoad, start: ExchangeStart): Attempt {
        val nowMillis = clock.monotonicMillis()
        return when (start) {
            is ExchangeStart.NotSent -> {
                mayBeRunning = false
                Attempt(Ending.LOST, isFinal = false)
            }

            is ExchangeStart.NotRun -> {
                mayBeRunning = false
                start.head.load?.let { load.told(it, nowMillis) }
                if (start.isAbsent) request.head.requestedModel?.let { state.notHere(backend, it) }
                Attempt(Ending.REFUSED, isFinal = false)
            }

            is ExchangeStart.Lost -> {
                runs++
                Attempt(Ending.LOST, endIfNotRepeatable(start.reason))
            }

            is ExchangeStart.Answered -> {
                runs++
                start.head.load?.let { load.told(it, nowMillis) }
                answered(load, start, nowMillis)
            }
        }
    }

    private suspend fun answered(
        load: BackendLoad,
        start: ExchangeStart.Answered,
        nowMillis: Long
    ): Attempt {
        val status = start.headers.status()
        if (status.isServerError && mayTryAnother(load, nowMillis)) {
            start.body.abort()
            return Attempt(Ending.FAILED, isFinal = false)
        }
        val failure = relay.relay(start)
        // The server answered, so a cut within the answer does not show that it is gone.
        if (failure != null) return Attempt(Ending.FAILED, endIfNotRepeatable(failure))
        log.finished(status.codeAsText())
        val ending = if (status.isServerError) Ending.FAILED else Ending.GOOD
        return Attempt(ending, isFinal = true)
    }

    /**
     * Whether a failure of an idempotent request is worth another server. Some requests fail
     * everywhere, so only a server that fails many is doubted.
     */
    private fun mayTryAnother(load: BackendLoad, nowMillis: Long): Boolean =
        load.failureScore(nowMillis) >= DOUBTED_SCORE &&
            request.route.repeatability == Repeatability.IDEMPOTENT &&
            runs < request.route.maxAttempts && hasAnother() &&
            state.budgetOf(request.service).mayRetry(state.instanceCount, nowMillis)

    private fun hasAnother(): Boolean =
        state.candidates(request.service, request.head.requestedModel).any {
            it.backend.id !in excluded
        }

    private fun backendAttempt(backend: Backend) = BackendAttempt(
        backend = backend,
        remainingMillis = (request.giveUpAtMillis - clock.monotonicMillis()).coerceAtLeast(1),
        account = request.account?.name,
        priority = request.priority,
        lastEventId = relay.lastEventId
    )

    /** After a loss: false if another server may try, else ends the answer and returns true. */
    private fun endIfNotRepeatable(reason: String): Boolean {
        val repeatability = request.route.repeatability
        val mayContinue = repeatability == Repeatability.RESUMABLE ||
            repeatability == Repeatability.IDEMPOTENT && !writer.hasBegun
        if (mayContinue && runs < request.route.maxAttempts) return false
        failed(reason)
        return true
    }

    private fun refuseOrFail(reason: String, retryAfterMillis: Long? = null) {
        if (runs == 0) refuse(reason, retryAfterMillis) else failed(reason)
    }

    private fun refuse(reason: String, retryAfterMillis: Long? = null) {
        request.account?.let { state.quota.putBack(it, request.tokens) }
        val retryMillis = retryAfterMillis ?: (RETRY_AFTER_MILLIS + spread(RETRY_SPREAD_MILLIS))
        val refusal = Refusal(ErrorKind.NO_BACKEND, reason, retryAfterMillis = retryMillis)
        log.ended("refused", reason)
        writer.refuse(refusal)
    }

    private fun failed(reason: String) {
        log.ended("failed", reason)
        if (writer.hasBegun) {
            writer.breakOff(reason)
        } else {
            writer.refuse(Refusal(ErrorKind.BACKEND_FAILED, reason))
        }
    }

    fun timedOut() {
        if (runs == 0 && !mayBeRunning) {
            refuse("no time was left before a server took the request")
        } else {
            log.ended("timed_out", "no time left")
            if (writer.hasBegun) {
                writer.breakOff("timed out")
            } else {
                writer.refuse(Refusal(ErrorKind.TIMED_OUT, "the time ran out"))
            }
        }
    }

    private fun spread(millis: Int): Long =
        Math.floorMod(request.head.requestId.hashCode(), millis).toLong()

    private companion object {
        /** How soon a wait learns that the model is expected at another time, or given up. */
        const val RECHECK_MILLIS = 200L

        /** Lets requests for a model that has just come begin one after the other. */
        const val MODEL_RETRY_SPREAD_MILLIS = 150

        /** Above what services fail by themselves (14 in 100 of one kind of request). */
        const val DOUBTED_SCORE = 0.25

        /** Bounds the memory of waiting requests; each is some kilobytes. */
        const val MAX_WAITING = 500

        /** A place is free after about the length of a request. */
        const val RETRY_AFTER_MILLIS = 400L

        /** Spreads callers that were refused together. */
        const val RETRY_SPREAD_MILLIS = 600
    }
}
