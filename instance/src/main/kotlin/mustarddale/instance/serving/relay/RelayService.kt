/*
 * Takes requests of instances that can't reach servers themselves, and forwards them with this
 * instance's own permits, limits and verdicts. The sender has admitted them, so they take no tokens
 * here, and nothing is relayed twice. What this instance can't do is refused at once as not run, so
 * that the sender can turn to another one.
 */
package mustarddale.instance.serving.relay

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.Refusal
import mustarddale.error.failure
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.forward.Admission
import mustarddale.instance.serving.forward.AdmittedRequest
import mustarddale.instance.serving.forward.Forwarder
import mustarddale.instance.serving.forward.RequestBodyReader
import mustarddale.instance.serving.forward.RequestJobs
import mustarddale.instance.serving.forward.StreamingResponse
import mustarddale.instance.serving.protocol.ServingProtocol
import mustarddale.serving.buffer.BufferBudget
import mustarddale.time.Clock

/**
 * Serves other instances.
 *
 * @param run the id of this process, which a request has to name.
 * @param mayAdmit whether requests are taken, false from the begin of a shutdown.
 */
public class RelayService(
    private val run: String,
    private val protocol: ServingProtocol,
    private val admission: Admission,
    private val forwarder: Forwarder,
    private val jobs: RequestJobs,
    private val buffers: BufferBudget,
    private val clock: Clock,
    private val mayAdmit: () -> Boolean
) {
    private var openCount = 0

    /** Whether a request with [headers] claims to come from an instance. */
    public fun handles(headers: RequestHeaders): Boolean = RelayEnvelope.isIn(headers)

    /** Forwards the request [req]. */
    public fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse {
        val arrivedAtMillis = clock.monotonicMillis()
        openCount++
        return jobs.launch(ctx) { response ->
            try {
                handle(req, response, arrivedAtMillis)
            } finally {
                openCount--
            }
        }
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun handle(
        req: HttpRequest,
        response: HttpResponseWriter,
        arrivedAtMillis: Long
    ) {
        val requestId = protocol.readRequest(req.headers())?.requestId
        val writer = StreamingResponse(response) { protocol.notRunHeaders(it, requestId) }
        val reader = RequestBodyReader(req, buffers)
        try {
            when (val admitted = admit(req, reader, arrivedAtMillis)) {
                is Outcome.Success -> forwarder.forward(admitted.value, writer)
                is Outcome.Failure -> refuse(requestId, writer, admitted.refusal)
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            DecisionLog.record("relay_failed", "request" to requestId, "error" to e.toString())
            writer.abort(e.toString())
        } finally {
            reader.release()
        }
    }

    private suspend fun admit(
        req: HttpRequest,
        reader: RequestBodyReader,
        arrivedAtMillis: Long
    ): Outcome<AdmittedRequest> {
        val headers = req.headers()
        val envelope = RelayEnvelope.of(headers)
        val head = protocol.readRequest(headers)
        return when {
            envelope == null || head == null || envelope.run != run ->
                elsewhere("the request is not meant for this process")

            !mayAdmit() -> elsewhere("the instance is shutting down")
            openCount > MAX_OPEN -> elsewhere("$openCount relayed requests are open")

            else -> {
                val body = reader.read().await()
                    ?: return elsewhere("no memory for the body")
                val ownHeaders = RelayEnvelope.removeFrom(headers)
                admission.admitRelayed(head, ownHeaders, body, arrivedAtMillis, envelope)
            }
        }
    }

    private fun refuse(requestId: String?, writer: StreamingResponse, refusal: Refusal) {
        DecisionLog.recordRequest(
            "relay_refused",
            requestId.orEmpty(),
            isSuccess = false,
            "reason" to refusal.message
        )
        writer.refuse(refusal)
    }

    internal companion object {
        /** More would take an instance's own callers the processor time. */
        const val MAX_OPEN = 256

        /** Refuses a request that another instance may take. */
        fun elsewhere(reason: String): Outcome.Failure = failure(ErrorKind.WRONG_INSTANCE, reason)
    }
}
