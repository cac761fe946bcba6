/*
 * The HTTP service for callers: reads a complete request, admits and forwards it, and streams the
 * response. A caller that disconnects cancels its request, at backend servers too.
 */
package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.CancellationException
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
        return jobs.launch(ctx) { handle(req, it, arrivedAtMillis) }
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun handle(
        req: HttpRequest,
        response: HttpResponseWriter,
        arrivedAtMillis: Long
    ) {
        val head = protocol.readRequest(req.headers())
        val writer =
            StreamingResponse(response) { protocol.refusalHeaders(it, head?.requestId) }
        val reader = RequestBodyReader(req, buffers)
        try {
            val body = reader.read().await()
            if (head == null) {
                writer.refuse(Refusal(ErrorKind.INVALID_REQUEST, "the request has no request id"))
                return
            }
            if (body == null) {
                val refusal = bufferRefusal(head)
                logRefused(head, refusal)
                writer.writeRefusal(refusal)
                withTimeoutOrNull(MAX_DRAIN_MILLIS) { reader.whenEnded.await() }
                writer.complete()
                return
            }
            startupGate.awaitOpen()
            if (mayAdmit()) {
                respond(head, req, body, writer, arrivedAtMillis)
            } else {
                refuse(head, writer, shutdownRefusal())
            }
        } catch (e: CancellationException) {
            if (head != null && !writer.hasEnded) logDisconnected(head, arrivedAtMillis)
            throw e
        } catch (e: Exception) {
            DecisionLog.record(
                "request_failed",
                "request" to head?.requestId,
                "error" to e.toString()
            )
            writer.abort(e.toString())
        } finally {
            reader.release()
        }
    }

    private fun refuse(head: RequestHead, writer: ResponseWriter, refusal: Refusal) {
        logRefused(head, refusal)
        writer.refuse(refusal)
    }

    private suspend fun respond(
        head: RequestHead,
        req: HttpRequest,
        body: RequestBody,
        writer: ResponseWriter,
        arrivedAtMillis: Long
    ) {
        when (val admitted = admit(head, req, body, arrivedAtMillis)) {
            is Outcome.Success -> forwarder.forward(admitted.value, writer)

            is Outcome.Failure -> refuse(head, writer, admitted.refusal)
        }
    }

    /** Admits a request; if this instance lacks tokens, borrows them or waits for a short time. */
    private suspend fun admit(
        head: RequestHead,
        req: HttpRequest,
        body: RequestBody,
        arrivedAtMillis: Long
    ): Outcome<AdmittedRequest> {
        var hasBorrowed = false
        while (true) {
            val nowMillis = clock.monotonicMillis()
            val admitted =
                admission.admit(head, req.headers(), body, arrivedAtMillis, nowMillis, hasBorrowed)
            val refusal = (admitted as? Outcome.Failure)?.refusal
            if (refusal?.kind != ErrorKind.RATE_EXCEEDED) return admitted
            val account = admission.accountOf(head) ?: return admitted
            val loanWaitMillis = loans.borrowTokens(
                account.name,
                admission.tokenCostOf(head, account)
            )
            if (loanWaitMillis == 0L) {
                hasBorrowed = true
                continue
            }
            val waitMillis = minOf(refusal.retryAfterMillis ?: 0, loanWaitMillis ?: Long.MAX_VALUE)
            val remainingMillis = arrivedAtMillis + MAX_TOKEN_WAIT_MILLIS - clock.monotonicMillis()
            if (waitMillis > remainingMillis) {
                val loan = loanWaitMillis?.let { "the leader has no tokens for $it ms" }
                    ?: "no leader responded"
                val reason = "${refusal.message}, $loan"
                return Outcome.Failure(
                    refusal.copy(message = reason, retryAfterMillis = waitMillis)
                )
            }
            delay(waitMillis.coerceAtLeast(1))
        }
    }

    private fun bufferRefusal(head: RequestHead) = Refusal(
        ErrorKind.OVERLOADED,
        "no memory for the body, ${buffers.heldBytes} of ${buffers.capacityBytes} bytes are in use",
        retryAfterMillis = BUFFER_RETRY_MILLIS +
            Math.floorMod(head.requestId.hashCode(), BUFFER_RETRY_JITTER_MILLIS)
    )

    private fun shutdownRefusal() = Refusal(
        ErrorKind.NOT_READY,
        "the instance is shutting down",
        retryAfterMillis = OTHER_INSTANCE_RETRY_MILLIS
    )

    private fun logRefused(head: RequestHead, refusal: Refusal) {
        DecisionLog.recordRequest(
            "refused",
            head.requestId,
            isSuccess = false,
            "kind" to refusal.kind.code,
            "tokens" to admission.tokenCostOf(head, admission.accountOf(head)).toLong(),
            "reason" to refusal.message,
            "retryAfterMillis" to refusal.retryAfterMillis
        )
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

        /** The longest time for the rest of a refused body before its connection is closed. */
        const val MAX_DRAIN_MILLIS = 10_000L
    }
}
