/*
 * The HTTP service for callers: admits a request by its head, reads its body, forwards it and
 * streams the response. What the head decides is refused at once, before the body is read and
 * anything is built for the request. A caller that disconnects cancels its request, at backend
 * servers too.
 */
package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.Refusal
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.leader.LeaderLoans
import mustarddale.instance.serving.protocol.RequestHead
import mustarddale.instance.serving.protocol.ServingProtocol
import mustarddale.instance.serving.state.StartupGate
import mustarddale.serving.buffer.BufferBudget
import mustarddale.time.Clock

/**
 * Serves callers.
 *
 * @param onRequest called with each request when it arrives.
 * @param mayAdmit returns whether new requests are admitted, false late in a shutdown.
 */
public class CallerService(
    private val jobs: RequestJobs,
    private val protocol: ServingProtocol,
    private val admission: Admission,
    private val forwarder: Forwarder,
    private val loans: LeaderLoans,
    private val startupGate: StartupGate,
    private val buffers: BufferBudget,
    private val clock: Clock,
    private val onRequest: (ServiceRequestContext) -> Unit,
    private val mayAdmit: () -> Boolean
) : HttpService {
    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse {
        val arrivedAtMillis = clock.monotonicMillis()
        onRequest(ctx)
        val head = protocol.readRequest(req.headers())
            ?: return refuseUnread(ctx, req, null, NO_REQUEST_ID)
        // While the instance starts, a request waits before anything is decided.
        val judged = if (startupGate.maxWaitMillis() > 0) null else judge(head, arrivedAtMillis)
        if (judged is Outcome.Failure && !mayAwaitTokens(head, judged.refusal, arrivedAtMillis)) {
            logRefused(head, judged.refusal)
            return refuseUnread(ctx, req, head, judged.refusal)
        }
        return jobs.launch(ctx) { handle(ctx, req, head, judged, it, arrivedAtMillis) }
    }

    /** Refuses a request over HTTP/2 with [headers] as too many are open; its body is not read. */
    internal fun refuseOverload(headers: RequestHeaders): HttpResponse {
        val head = protocol.readRequest(headers)
        if (head != null) logRefused(head, OVERLOAD_REFUSAL)
        val response = HttpResponse.streaming()
        StreamingResponse(response) { protocol.refusalHeaders(it, head?.requestId) }
            .refuse(OVERLOAD_REFUSAL)
        return response
    }

    /** Decides on a request by its head, without waiting. */
    private fun judge(head: RequestHead, arrivedAtMillis: Long): Outcome<AdmittedHead> =
        if (mayAdmit()) {
            admission.admit(head, arrivedAtMillis, clock.monotonicMillis(), checksLateness = true)
        } else {
            Outcome.Failure(SHUTDOWN_REFUSAL)
        }

    /** Whether tokens may become available in time for a request that is refused by [refusal]. */
    private fun mayAwaitTokens(
        head: RequestHead,
        refusal: Refusal,
        arrivedAtMillis: Long
    ): Boolean {
        if (refusal.kind != ErrorKind.RATE_EXCEEDED) return false
        val nowMillis = clock.monotonicMillis()
        val account = admission.accountOf(head) ?: return false
        val loanWaitMillis = loans.knownTokenWaitMillis(account.name, nowMillis) ?: return true
        val waitMillis = minOf(refusal.retryAfterMillis ?: 0, loanWaitMillis)
        return waitMillis <= arrivedAtMillis + MAX_TOKEN_WAIT_MILLIS - nowMillis
    }

    /** Refuses a request at once; what arrives of its body is dropped. */
    private fun refuseUnread(
        ctx: ServiceRequestContext,
        req: HttpRequest,
        head: RequestHead?,
        refusal: Refusal
    ): HttpResponse {
        val response = HttpResponse.streaming()
        StreamingResponse(response) { protocol.refusalHeaders(it, head?.requestId) }
            .writeRefusal(refusal)
        UnreadBody.discard(ctx, req) { response.close() }
        return response
    }

    @Suppress("TooGenericExceptionCaught", "LongParameterList")
    private suspend fun handle(
        ctx: ServiceRequestContext,
        req: HttpRequest,
        head: RequestHead,
        judged: Outcome<AdmittedHead>?,
        response: HttpResponseWriter,
        arrivedAtMillis: Long
    ) {
        val writer = StreamingResponse(response) { protocol.refusalHeaders(it, head.requestId) }
        val reader = RequestBodyReader(req, buffers)
        var admitted: AdmittedHead? = null
        try {
            if (judged == null) startupGate.awaitOpen()
            val outcome = awaitTokens(head, judged ?: judge(head, arrivedAtMillis), arrivedAtMillis)
            admitted = (outcome as? Outcome.Success)?.value
            if (outcome is Outcome.Failure) return refuseUnread(ctx, req, head, writer, outcome)
            val arrival = reader.read()
            if (ctx.sessionProtocol().isMultiplex && !reader.arrivesSteadily()) {
                logRefused(head, BODY_TOO_SLOW_REFUSAL)
                return writer.refuse(BODY_TOO_SLOW_REFUSAL)
            }
            val body = arrival.await()
            if (body == null) {
                refuseBody(head, reader, writer)
                return
            }
            val judgedByHead = checkNotNull(admitted)
            // From here on, the second decision or the forwarding returns the tokens.
            admitted = null
            val request = admitAgain(head, judgedByHead, writer) ?: return
            forwarder.forward(request.withBody(req.headers(), body), writer)
        } catch (e: CancellationException) {
            if (!writer.hasEnded) logDisconnected(head, arrivedAtMillis)
            throw e
        } catch (e: Exception) {
            DecisionLog.record(
                "request_failed",
                "request" to head.requestId,
                "error" to e.toString()
            )
            writer.abort(e.toString())
        } finally {
            admitted?.let { admission.refund(it) }
            reader.release()
        }
    }

    private suspend fun refuseUnread(
        ctx: ServiceRequestContext,
        req: HttpRequest,
        head: RequestHead,
        writer: StreamingResponse,
        failure: Outcome.Failure
    ) {
        logRefused(head, failure.refusal)
        writer.writeRefusal(failure.refusal)
        val end = CompletableDeferred<Unit>()
        UnreadBody.discard(ctx, req) { end.complete(Unit) }
        end.await()
        writer.complete()
    }

    /** Refuses a request for whose body there is no room. */
    private suspend fun refuseBody(
        head: RequestHead,
        reader: RequestBodyReader,
        writer: StreamingResponse
    ) {
        val refusal = bufferRefusal(head)
        logRefused(head, refusal)
        writer.writeRefusal(refusal)
        withTimeoutOrNull(UnreadBody.MAX_MILLIS) { reader.whenEnded.await() }
        writer.complete()
    }

    /**
     * Repeats the decision on [admitted], whose body is complete, if it was made under another
     * configuration or long ago; returns null if the request has been refused.
     */
    private suspend fun admitAgain(
        head: RequestHead,
        admitted: AdmittedHead,
        writer: StreamingResponse
    ): AdmittedHead? {
        if (mayAdmit() && admission.isCurrent(admitted, clock.monotonicMillis())) return admitted
        admission.refund(admitted)
        val arrivedAtMillis = admitted.arrivedAtMillis
        val judged = if (mayAdmit()) {
            admission.admit(head, arrivedAtMillis, clock.monotonicMillis())
        } else {
            Outcome.Failure(SHUTDOWN_REFUSAL)
        }
        val outcome = awaitTokens(head, judged, arrivedAtMillis)
        if (outcome is Outcome.Success) return outcome.value
        val refusal = (outcome as Outcome.Failure).refusal
        logRefused(head, refusal)
        writer.refuse(refusal)
        return null
    }

    /** If this instance lacks tokens for [judged], borrows them or waits for a short time. */
    private suspend fun awaitTokens(
        head: RequestHead,
        judged: Outcome<AdmittedHead>,
        arrivedAtMillis: Long
    ): Outcome<AdmittedHead> {
        var admitted = judged
        while (true) {
            val refusal = (admitted as? Outcome.Failure)?.refusal
            if (refusal?.kind != ErrorKind.RATE_EXCEEDED) return admitted
            val account = admission.accountOf(head) ?: return admitted
            val loanWaitMillis = loans.borrowTokens(
                account.name,
                admission.tokenCostOf(head, account)
            )
            val hasBorrowed = loanWaitMillis == 0L
            if (!hasBorrowed) {
                val waitMillis =
                    minOf(refusal.retryAfterMillis ?: 0, loanWaitMillis ?: Long.MAX_VALUE)
                val endMillis = arrivedAtMillis + MAX_TOKEN_WAIT_MILLIS
                if (waitMillis > endMillis - clock.monotonicMillis()) {
                    return Outcome.Failure(withLoan(refusal, loanWaitMillis, waitMillis))
                }
                delay(waitMillis.coerceAtLeast(1))
            }
            admitted =
                admission.admit(head, arrivedAtMillis, clock.monotonicMillis(), hasBorrowed)
        }
    }

    private fun withLoan(refusal: Refusal, loanWaitMillis: Long?, waitMillis: Long): Refusal {
        val loan = loanWaitMillis?.let { "the leader has no tokens for $it ms" }
            ?: "no leader responded"
        return refusal.copy(message = "${refusal.message}, $loan", retryAfterMillis = waitMillis)
    }

    private fun bufferRefusal(head: RequestHead) = Refusal(
        ErrorKind.OVERLOADED,
        "no memory for the body, ${buffers.heldBytes} of ${buffers.capacityBytes} bytes are in use",
        retryAfterMillis = BUFFER_RETRY_MILLIS +
            Math.floorMod(head.requestId.hashCode(), BUFFER_RETRY_JITTER_MILLIS)
    )

    private fun logRefused(head: RequestHead, refusal: Refusal) {
        DecisionLog.recordRequest("refused", head.requestId, isSuccess = false) {
            arrayOf(
                "kind" to refusal.kind.code,
                "tokens" to admission.tokenCostOf(head, admission.accountOf(head)).toLong(),
                "reason" to refusal.message,
                "retryAfterMillis" to refusal.retryAfterMillis
            )
        }
    }

    private fun logDisconnected(head: RequestHead, arrivedAtMillis: Long) {
        DecisionLog.recordRequest(
            "caller_left",
            head.requestId,
            isSuccess = false,
            "afterMillis" to clock.monotonicMillis() - arrivedAtMillis
        )
    }

    private companion object {
        /** A third of the usual latency target, so that the response can still be in time. */
        const val MAX_TOKEN_WAIT_MILLIS = 100L

        /** A retry on a new connection reaches another instance. */
        const val OTHER_INSTANCE_RETRY_MILLIS = 20L

        /** About the time for which a server needs the body of a large request. */
        const val BUFFER_RETRY_MILLIS = 500L

        /** Spreads the retries of callers that were refused at the same time. */
        const val BUFFER_RETRY_JITTER_MILLIS = 1_000

        val NO_REQUEST_ID = Refusal(ErrorKind.INVALID_REQUEST, "the request has no request id")

        val OVERLOAD_REFUSAL = Refusal(
            ErrorKind.OVERLOADED,
            "too many requests are open over HTTP/2",
            retryAfterMillis = BUFFER_RETRY_MILLIS
        )

        val BODY_TOO_SLOW_REFUSAL =
            Refusal(ErrorKind.BODY_TOO_SLOW, "too little of the body has arrived")

        val SHUTDOWN_REFUSAL = Refusal(
            ErrorKind.NOT_READY,
            "the instance is shutting down",
            retryAfterMillis = OTHER_INSTANCE_RETRY_MILLIS
        )
    }
}
