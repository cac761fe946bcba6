/*
 * The HTTP side towards callers: reads a request whole, has it admitted and forwarded, and streams
 * the answer. A caller that leaves cancels the work, at backend servers too.
 */
package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import java.io.IOException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.Refusal
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.leader.TokenBorrower
import mustarddale.instance.serving.protocol.CallerHead
import mustarddale.instance.serving.protocol.ServingProtocol
import mustarddale.instance.serving.state.StartGate
import mustarddale.time.Clock

/** Serves callers; runs in [scope], whose dispatcher is the event loop. */
public class CallerService(
    private val scope: CoroutineScope,
    private val protocol: ServingProtocol,
    private val admission: Admission,
    private val forwarder: Forwarder,
    private val loans: TokenBorrower,
    private val startGate: StartGate,
    private val clock: Clock,
    private val onRequest: (ServiceRequestContext) -> Unit,
    private val mayAdmit: () -> Boolean
) : HttpService {
    /** The requests that have no final answer yet. */
    @Volatile
    public var openRequests: Int = 0
        private set

    override fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse {
        val arrivedAtMillis = clock.monotonicMillis()
        val response = HttpResponse.streaming()
        openRequests++
        onRequest(ctx)
        val job = scope.launch(start = CoroutineStart.UNDISPATCHED) {
            handle(ctx, req, response, arrivedAtMillis)
        }
        response.whenComplete().whenComplete { _, _ -> job.cancel() }
        ctx.log().partial().channel()?.let { cancelOnClose(it, job) }
        job.invokeOnCompletion { openRequests-- }
        return response
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun handle(
        ctx: ServiceRequestContext,
        req: HttpRequest,
        response: HttpResponseWriter,
        arrivedAtMillis: Long
    ) {
        val head = protocol.read(req.headers())
        val writer = StreamingAnswer(response, head?.requestId)
        try {
            val whole = req.aggregate(ctx.eventLoop()).await()
            if (head == null) {
                writer.refuse(Refusal(ErrorKind.INVALID_REQUEST, "the request has no id"))
                return
            }
            startGate.pass()
            if (!mayAdmit()) {
                val refusal = leavingRefusal()
                logRefused(head, refusal)
                writer.refuse(refusal)
                return
            }
            answer(head, req, whole.content(), writer, arrivedAtMillis)
        } catch (e: CancellationException) {
            if (head != null && !writer.hasEnded) logLeft(head, arrivedAtMillis)
            throw e
        } catch (e: Exception) {
            DecisionLog.record(
                "request_failed",
                "request" to head?.requestId,
                "error" to e.toString()
            )
            writer.breakOff(e.toString())
        }
    }

    private suspend fun answer(
        head: CallerHead,
        req: HttpRequest,
        body: HttpData,
        writer: AnswerWriter,
        arrivedAtMillis: Long
    ) {
        when (val admitted = admit(head, req, body, arrivedAtMillis)) {
            is Outcome.Success -> forwarder.forward(admitted.value, writer)

            is Outcome.Failure -> {
                logRefused(head, admitted.refusal)
                writer.refuse(admitted.refusal)
            }
        }
    }

    /** Admits a request, with tokens from the leader or a little later if the share is short. */
    private suspend fun admit(
        head: CallerHead,
        req: HttpRequest,
        body: HttpData,
        arrivedAtMillis: Long
    ): Outcome<Admitted> {
        var arePaid = false
        while (true) {
            val nowMillis = clock.monotonicMillis()
            val admitted =
                admission.admit(head, req.headers(), body, arrivedAtMillis, nowMillis, arePaid)
            val refusal = (admitted as? Outcome.Failure)?.refusal
            if (refusal?.kind != ErrorKind.RATE_EXCEEDED) return admitted
            val account = admission.accountOf(head) ?: return admitted
            val lentAfter = loans.borrow(account.name, admission.tokensOf(head, account))
            if (lentAfter == 0L) {
                arePaid = true
                continue
            }
            val waitMillis = minOf(refusal.retryAfterMillis ?: 0, lentAfter ?: Long.MAX_VALUE)
            val leftMillis = arrivedAtMillis + MAX_TOKEN_WAIT_MILLIS - clock.monotonicMillis()
            if (waitMillis > leftMillis) {
                val pool =
                    lentAfter?.let { "the pool is empty for $it ms" } ?: "no answer of a leader"
                val reason = "${refusal.message}, $pool"
                return Outcome.Failure(
                    refusal.copy(message = reason, retryAfterMillis = waitMillis)
                )
            }
            delay(waitMillis.coerceAtLeast(1))
        }
    }

    private fun leavingRefusal() = Refusal(
        ErrorKind.NOT_READY,
        "the instance is leaving",
        retryAfterMillis = OTHER_INSTANCE_RETRY_MILLIS
    )

    private fun logRefused(head: CallerHead, refusal: Refusal) {
        DecisionLog.recordRequest(
            "refused",
            head.requestId,
            isGood = false,
            "kind" to refusal.kind.code,
            "tokens" to admission.tokensOf(head, admission.accountOf(head)).toLong(),
            "reason" to refusal.message,
            "retryAfterMillis" to refusal.retryAfterMillis
        )
    }

    private fun logLeft(head: CallerHead, arrivedAtMillis: Long) {
        DecisionLog.recordRequest(
            "caller_left",
            head.requestId,
            isGood = false,
            "afterMillis" to clock.monotonicMillis() - arrivedAtMillis
        )
    }

    private companion object {
        /** A third of the usual target: the answer can still be on time. */
        const val MAX_TOKEN_WAIT_MILLIS = 100L

        /** A new connection reaches another instance at once. */
        const val OTHER_INSTANCE_RETRY_MILLIS = 20L
    }

    private inner class StreamingAnswer(
        private val response: HttpResponseWriter,
        private val requestId: String?
    ) : AnswerWriter {
        override var hasBegun = false
            private set

        var hasEnded = false
            private set

        override fun head(headers: ResponseHeaders) {
            hasBegun = true
            response.tryWrite(headers)
        }

        override suspend fun part(data: HttpData) {
            if (response.tryWrite(data)) response.whenConsumed().await()
        }

        override fun complete() {
            hasEnded = true
            response.close()
        }

        override fun breakOff(reason: String) {
            hasEnded = true
            response.close(IOException(reason))
        }

        override fun refuse(refusal: Refusal) {
            head(protocol.refusal(refusal, requestId))
            response.tryWrite(HttpData.ofUtf8(refusal.message))
            complete()
        }
    }
}
