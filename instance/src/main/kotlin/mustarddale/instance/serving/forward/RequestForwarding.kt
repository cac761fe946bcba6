/*
 * The forwarding state of one request: the servers already tried, how often it may have run, and
 * how much of a response the caller has received.
 */
package mustarddale.instance.serving.forward

import kotlinx.coroutines.CancellationException
import mustarddale.error.ErrorKind
import mustarddale.error.Refusal
import mustarddale.instance.serving.protocol.BackendAttempt
import mustarddale.instance.serving.state.ServiceModel
import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.BackendLoad
import mustarddale.serving.backend.BackendSelection
import mustarddale.serving.backend.Candidate
import mustarddale.serving.backend.RequestOutcome
import mustarddale.serving.config.Repeatability

/** Forwards [request] with the parts of [forwarder] and writes its response to [writer]. */
internal class RequestForwarding(
    forwarder: Forwarder,
    private val request: AdmittedRequest,
    private val writer: ResponseWriter
) {
    private val state = forwarder.state
    private val backendClient = forwarder.backendClient
    private val protocol = forwarder.protocol
    private val loans = forwarder.loans
    private val clock = forwarder.clock
    private var possibleExecutions = 0
    private var mayBeRunning = false
    private var answeringBackend: Backend? = null
    private val measurements = RequestMeasurements(request, state, forwarder.clock)
    private val promptGate = PromptGate(request, state, loans)
    private val trialGate = TrialGate(request, state, loans, forwarder.clock)
    private val relay = ResponseRelay(request, writer, protocol, forwarder.buffers, ::recordAnswer)
    private val requestLog = RequestLog(request, state.configuration?.version, clock)
    private val versionGate =
        VersionGate(request, state, forwarder.versionSurvey, loans, requestLog, clock)
    private val servers = ServerChoice(
        request,
        state,
        forwarder.backendSelector,
        versionGate,
        forwarder.localDomain,
        clock
    )
    private val peerForwarding = PeerForwarding(forwarder, request, relay, requestLog)
    private val modelGate = ModelGate(request, state, versionGate, requestLog, clock)
    private val permitGate = PermitGate(request, state, loans, requestLog, clock)
    private val capacityGate =
        CapacityGate(request, forwarder.capacityQueues, state, requestLog, clock)

    /** Tries servers in turn until the caller has a complete response, a refusal or an abort. */
    suspend fun run() {
        // The instance that has admitted a relayed request reports it.
        if (!request.isRelayed) {
            request.head.model?.let {
                state.recordDemand(ServiceModel(request.service, it), request.head.outputTokens)
            }
            state.retryBudgetOf(request.service).recordRequest(clock.monotonicMillis())
        }
        try {
            var refusal: Refusal? = null
            var hasEnded = false
            while (refusal == null && !hasEnded) {
                refusal = versionGate.refusal(relay.lastEventId != null) ?: promptGate.refusal()
                if (refusal == null) hasEnded = trySending()
            }
            refusal?.let { refuseOrFail(it) }
        } finally {
            capacityGate.endRelease()
        }
    }

    /** Sends the request on, by another instance if this one is cut off; true if it has ended. */
    private suspend fun trySending(): Boolean {
        if (peerForwarding.isNeeded()) {
            val result = sendThroughPeer()
            if (result != PeerResult.NO_PEER) return result == PeerResult.ENDED
        }
        val chosen = chooseBackend() ?: return true
        // The request may have waited for its model.
        val refusal = promptGate.refusal() ?: trialGate.refusal(chosen.backend, !chosen.needsPermit)
        if (refusal != null) {
            refuseOrFail(refusal)
            return true
        }
        val isFinal = sendTo(chosen)
        servers.recordTried(chosen.backend)
        return isFinal
    }

    private fun recordAnswer() {
        measurements.recordAnswer()
        val answering = answeringBackend
        val version = if (answering == null) peerForwarding.answeringVersion else answering.version
        version?.let { versionGate.recordFirstEvent(it) }
        if (answering != null) measurements.recordBegun()
        promptGate.recordAnswer()
        trialGate.recordAnswer()
        // The server has the whole request, and no other one will get it.
        if (!mayBeSentAgain()) request.body.release()
    }

    private fun recordLost(server: Backend) {
        trialGate.recordLost(server)
        promptGate.recordLost(server)
    }

    private suspend fun chooseBackend(): BackendSelection.Selected? {
        while (true) {
            // Another instance may have brought events and been lost since the last round.
            versionGate.refusal(relay.lastEventId != null)?.let {
                refuseOrFail(it)
                return null
            }
            if (!writer.hasStarted && capacityGate.isHeldBack() && !awaitRoom()) return null
            val nowMillis = clock.monotonicMillis()
            val candidates = servers.candidates()
            val selection = servers.select(candidates)
            val mayTakePlace = selection is BackendSelection.NoCapacity ||
                selection is BackendSelection.Selected && !selection.needsPermit
            if (!mayTakePlace) capacityGate.endRelease()
            if (selection is BackendSelection.Selected) {
                if (selection.needsPermit && !permitGate.obtain(selection)) continue
                if (requestLog.reachedBackends == 0 || mayRetry(nowMillis)) return selection
                refuseOrFail("the retry budget of the service is exhausted")
                return null
            }
            if (!mayChooseAgain(selection, candidates)) return null
        }
    }

    /** Waits for what [candidates] lack, or refuses; false if the request has ended. */
    private suspend fun mayChooseAgain(
        selection: BackendSelection,
        candidates: List<Candidate>
    ): Boolean {
        if (selection is BackendSelection.NoCapacity) return mayFindCapacity(candidates)
        val refusal = if (selection is BackendSelection.NotResident) {
            modelGate.refusal(candidates) ?: return true
        } else {
            null
        }
        refuseOrFail(
            refusal?.message ?: "the service has no usable server",
            refusal?.retryAfterMillis
        )
        return false
    }

    /** Waits until a server may have room; false if the request has ended. */
    private suspend fun awaitRoom(): Boolean {
        val isExcluding = servers.excludedAfterWait().isNotEmpty()
        val refusal = capacityGate.refusal(
            restriction = { isExcluding || versionGate.isRestricting },
            hasStarted = writer.hasStarted
        ) {
            servers.selectAfterWait(servers.candidates()) !is BackendSelection.NoCapacity
        }
        if (refusal != null) {
            refuseOrFail(refusal)
            return false
        }
        servers.endWait()
        return true
    }

    /** Lets another instance try what [candidates] can't, or refuses; false if it has ended. */
    private suspend fun mayFindCapacity(candidates: List<Candidate>): Boolean {
        val result =
            if (peerForwarding.mayReachMore(candidates)) sendThroughPeer() else PeerResult.NO_PEER
        if (result != PeerResult.NO_PEER) return result == PeerResult.MAY_GO_ON
        // A server that has refused the request without being full is not asked again.
        val mayWait = capacityGate.mayWait(
            candidates,
            servers.excludedAfterWait(),
            clock.monotonicMillis()
        ) && servers.selectAfterWait(candidates) is BackendSelection.NoCapacity
        if (mayWait) return awaitRoom()
        val permitWaitMillis = permitGate.waitMillis(candidates, clock.monotonicMillis())
        refuseOrFail(
            "servers for ${request.head.model ?: "the service"} are full, cold, limited, " +
                "resting or failing",
            permitWaitMillis?.let {
                maxOf(it, RETRY_AFTER_MILLIS) + jitterMillis(RETRY_JITTER_MILLIS)
            }
        )
        return false
    }

    private enum class PeerResult { ENDED, MAY_GO_ON, NO_PEER }

    private suspend fun sendThroughPeer(): PeerResult {
        val nowMillis = clock.monotonicMillis()
        val isRetry = requestLog.reachedBackends > 0
        val budget = state.retryBudgetOf(request.service)
        if (isRetry && !budget.mayRetry(state.instanceCount, nowMillis)) return PeerResult.NO_PEER
        state.paths.recordShortage(request.service)
        // One attempt is kept for the case that the other instance is lost.
        val attempts = (request.maxAttempts - possibleExecutions - 1).coerceAtLeast(1)
        mayBeRunning = true
        answeringBackend = null
        val outcome = peerForwarding.send(attempts, versionGate.version)
        if (isRetry && outcome != PeerOutcome.NoPeer) mayRetry(nowMillis)
        return when (outcome) {
            PeerOutcome.Answered -> PeerResult.ENDED

            PeerOutcome.NoPeer -> {
                mayBeRunning = false
                PeerResult.NO_PEER
            }

            is PeerOutcome.Refused -> {
                mayBeRunning = false
                refuseOrFail(outcome.refusal)
                PeerResult.ENDED
            }

            is PeerOutcome.Failed -> {
                possibleExecutions += attempts
                if (outcome.isFinal) fail(outcome.reason)
                val hasEnded = outcome.isFinal || failUnlessRepeatable(outcome.reason)
                if (hasEnded) PeerResult.ENDED else PeerResult.MAY_GO_ON
            }
        }
    }

    private fun mayRetry(nowMillis: Long): Boolean =
        state.retryBudgetOf(request.service).tryAcquire(state.instanceCount, nowMillis)

    /** Sends the request to the server [chosen]; true if the caller has its final response. */
    @Suppress("TooGenericExceptionCaught")
    private suspend fun sendTo(chosen: BackendSelection.Selected): Boolean {
        val backend = chosen.backend
        val load = state.loadOf(backend)
        val sentMillis = clock.monotonicMillis()
        val reportedLoadAgeMillis = load.reportAgeMillis(sentMillis)
        val requestCount = load.requestCount(sentMillis)
        val isWhole = relay.lastEventId == null
        load.recordSent(sentMillis)
        capacityGate.recordSent()
        mayBeRunning = true
        // A cancellation by the caller or the deadline must not count as a failure of the server.
        var outcome = RequestOutcome.GOOD
        try {
            val headers = protocol.backendHeaders(request.headers, backendAttempt(backend))
            val sendResult =
                backendClient.send(
                    backend.address,
                    request.head.requestId,
                    headers,
                    request.body.data
                )
            requestLog.logAttempt(chosen, reportedLoadAgeMillis, sendResult, sentMillis)
            val result = handleResult(backend, load, sendResult, sentMillis)
            outcome = result.outcome
            if (outcome == RequestOutcome.GOOD && isWhole) {
                measurements.recordTimes(load, sendResult, requestCount, sentMillis)
            }
            return result.isFinal
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            outcome = RequestOutcome.LOST
            possibleExecutions++
            return failUnlessRepeatable("sending the request failed: $e")
        } finally {
            load.recordOutcome(outcome, clock.monotonicMillis())
            capacityGate.recordEnded(backend)
            trialGate.endAttempt()
        }
    }

    private data class AttemptResult(val outcome: RequestOutcome, val isFinal: Boolean)

    private suspend fun handleResult(
        backend: Backend,
        load: BackendLoad,
        result: SendResult,
        sentMillis: Long
    ): AttemptResult {
        val nowMillis = clock.monotonicMillis()
        load.recordReached(isSent = result !is SendResult.NotSent, nowMillis)
        result.hasReachedServer?.let { state.paths.record(backend, it) }
        return when (result) {
            is SendResult.NotSent -> {
                mayBeRunning = false
                AttemptResult(RequestOutcome.LOST, isFinal = false)
            }

            is SendResult.NotRun -> {
                mayBeRunning = false
                result.head.load?.let { load.report(it, nowMillis) }
                if (result.isMisdirected) {
                    request.head.model?.let { state.markAbsent(backend, it) }
                } else {
                    servers.recordRefused(backend)
                    state.recordNotices(backend, result.head, sentMillis)
                }
                AttemptResult(RequestOutcome.REFUSED, isFinal = false)
            }

            is SendResult.OutcomeUnknown -> {
                possibleExecutions++
                if (result.hasLostConnection) recordLost(backend)
                // Another server's success must not replace a failure that is still to come, nor a
                // malformed answer to a stream, which may be one.
                val isFinal = result.mayStillRespond ||
                    result.isMalformed && request.route.repeatability != Repeatability.IDEMPOTENT
                if (isFinal) {
                    fail(result.reason)
                    AttemptResult(RequestOutcome.LOST, isFinal = true)
                } else {
                    AttemptResult(RequestOutcome.LOST, failUnlessRepeatable(result.reason))
                }
            }

            is SendResult.Responded -> {
                possibleExecutions++
                state.suspectedRequests.recordResponse(backend.run, sentMillis)
                result.head.load?.let {
                    load.report(it, nowMillis)
                    capacityGate.recordReport(backend)
                }
                state.recordNotices(backend, result.head, sentMillis)
                handleResponse(backend, load, result, nowMillis)
            }
        }
    }

    private suspend fun handleResponse(
        backend: Backend,
        load: BackendLoad,
        response: SendResult.Responded,
        nowMillis: Long
    ): AttemptResult {
        val status = response.headers.status()
        if (!request.route.isStream || !status.isSuccess) measurements.recordBegun()
        if (status.isServerError && shouldTryAnother(load, nowMillis)) {
            response.body.abort()
            return AttemptResult(RequestOutcome.FAILED, isFinal = false)
        }
        answeringBackend = backend
        val error = relay.relay(versionGate.label(response, backend.version))
        requestLog.logResponseEnd(relay.framing, relay.partialEventBytes, error)
        if (error != null && !relay.isAnswered) recordLost(backend)
        // The server sent a response head, so a truncated body does not count as a lost server.
        if (error != null) {
            val isFinal = if (status.isSuccess) {
                failUnlessRepeatable(error)
            } else {
                // What is left of the body changes nothing of the failure.
                fail(error)
                true
            }
            return AttemptResult(RequestOutcome.FAILED, isFinal)
        }
        requestLog.logFinished(status.codeAsText())
        if (status.isSuccess) measurements.recordCompleted()
        val outcome = if (status.isServerError) RequestOutcome.FAILED else RequestOutcome.GOOD
        return AttemptResult(outcome, isFinal = true)
    }

    /**
     * Returns whether to retry an idempotent request that ended with a server error at another
     * server. Some requests fail everywhere, so it takes a server with a high failure score.
     */
    private fun shouldTryAnother(load: BackendLoad, nowMillis: Long): Boolean =
        load.failureScore(nowMillis) >= RETRY_FAILURE_SCORE &&
            request.route.repeatability == Repeatability.IDEMPOTENT &&
            possibleExecutions < request.maxAttempts &&
            servers.candidates().any { !servers.hasTried(it.backend) } &&
            state.retryBudgetOf(request.service).mayRetry(state.instanceCount, nowMillis)

    private fun backendAttempt(backend: Backend) = BackendAttempt(
        serverId = backend.id,
        remainingMillis = (request.deadlineAtMillis - clock.monotonicMillis()).coerceAtLeast(1),
        account = request.account?.name,
        priority = request.priority,
        lastEventId = relay.lastEventId
    )

    /** Ends the response as failed and returns true, unless another server may be tried. */
    private fun failUnlessRepeatable(reason: String): Boolean {
        if (mayBeSentAgain() && !promptGate.mayHaveCrashedServer) return false
        fail(reason)
        return true
    }

    /** Whether the request, which may have run, may be sent to another server. */
    private fun mayBeSentAgain(): Boolean {
        val repeatability = request.route.repeatability
        val mayRepeat = repeatability == Repeatability.RESUMABLE ||
            repeatability == Repeatability.IDEMPOTENT && !writer.hasStarted
        return mayRepeat && possibleExecutions < request.maxAttempts
    }

    private fun refuseOrFail(reason: String, retryAfterMillis: Long? = null) {
        val retryMillis =
            retryAfterMillis ?: (RETRY_AFTER_MILLIS + jitterMillis(RETRY_JITTER_MILLIS))
        refuseOrFail(Refusal(ErrorKind.NO_BACKEND, reason, retryAfterMillis = retryMillis))
    }

    private fun refuseOrFail(refusal: Refusal) {
        if (possibleExecutions > 0) return fail(refusal.message)
        if (refusal.kind == ErrorKind.NO_BACKEND && !request.isRelayed) {
            state.serviceLoads?.recordRefused(request.service)
        }
        request.account?.let { state.quota.refund(it, request.tokens) }
        requestLog.logEnd("refused", refusal.message)
        writer.refuse(refusal)
    }

    private fun fail(reason: String) = end("failed", Refusal(ErrorKind.BACKEND_FAILED, reason))

    /** Ends the request with [response], or as incomplete if its response has begun. */
    private fun end(event: String, response: Refusal) {
        requestLog.logEnd(event, response.message)
        if (writer.hasStarted) writer.abort(response.message) else writer.refuse(response)
    }

    /** Ends the request because its deadline has passed. */
    fun timeOut() {
        if (hasNotRun) {
            refuseOrFail("the deadline passed before a server accepted the request")
        } else {
            end("timed_out", Refusal(ErrorKind.TIMED_OUT, "the deadline passed"))
        }
    }

    /** Ends the request because the instance exits. */
    fun endOnExit() {
        if (hasNotRun) {
            refuseOrFail("the instance exits", OTHER_INSTANCE_RETRY_MILLIS)
        } else {
            end("failed", Refusal(ErrorKind.OUTCOME_UNKNOWN, "the instance exits"))
        }
    }

    private val hasNotRun: Boolean get() = possibleExecutions == 0 && !mayBeRunning

    private fun jitterMillis(maxMillis: Int): Long =
        Math.floorMod(request.head.requestId.hashCode(), maxMillis).toLong()

    private companion object {
        /** Above the failure rate of healthy servers, 0.14 for one kind of request. */
        const val RETRY_FAILURE_SCORE = 0.25

        /** About the duration of one request, after which a slot is free. */
        const val RETRY_AFTER_MILLIS = 400L

        /** A retry on a new connection reaches another instance. */
        const val OTHER_INSTANCE_RETRY_MILLIS = 20L

        /** Spreads the retries of callers that were refused at the same time. */
        const val RETRY_JITTER_MILLIS = 600
    }
}
