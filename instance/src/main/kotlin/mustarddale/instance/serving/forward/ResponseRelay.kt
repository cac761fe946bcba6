/*
 * Relays a backend server's response to the caller: buffered responses once they are complete,
 * streams as they arrive. A stream that ends within an event was broken off, even if its
 * connection ended in order. A resumable stream is relayed in whole events, so that another server
 * can continue after the last one; of that server's response only events reach the caller.
 */
package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import java.io.IOException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.reactive.collect
import mustarddale.instance.http.BodyFraming
import mustarddale.instance.serving.protocol.ServingProtocol
import mustarddale.serving.buffer.BufferBudget
import mustarddale.serving.buffer.BufferReservation
import mustarddale.serving.config.Repeatability

/** Relays the responses to [request] to its caller. */
internal class ResponseRelay(
    private val request: AdmittedRequest,
    private val writer: ResponseWriter,
    private val protocol: ServingProtocol,
    private val buffers: BufferBudget,
    private val onAnswered: () -> Unit
) {
    private val eventSplitter = EventSplitter(request.head.lastEventId)

    /** Id of the event after which the next server continues, null for the whole stream. */
    val lastEventId: String? get() = eventSplitter.lastEventId

    /** The framing of the response relayed last, null before the first. */
    var framing: BodyFraming? = null
        private set

    /** Whether the response relayed last had a complete event or body. */
    var isAnswered: Boolean = false
        private set

    /** The length of the incomplete event at the end of the stream relayed last. */
    var partialEventBytes: Int = 0
        private set

    /** Relays [response]; returns why it is incomplete, null if the caller has all of it. */
    suspend fun relay(response: SendResult.Responded): String? {
        isAnswered = false
        val isResumed = writer.hasStarted
        val status = response.headers.status()
        if (isResumed && !(status.isSuccess && isEventStream(response.headers))) {
            response.body.abort()
            return "resuming the stream failed: status $status, ${response.headers.contentType()}"
        }
        if (!request.route.isStream || !status.isSuccess || !isEventStream(response.headers)) {
            return relayBuffered(response)
        }
        if (!isResumed) writer.writeHead(streamHeaders(response.headers))
        val failure = relayStream(response, isResumed)
        eventSplitter.dropPartialEvent()
        if (failure == null) writer.complete()
        return failure
    }

    /** Returns the head for the caller; the length of one server's events is not that of all. */
    private fun streamHeaders(headers: ResponseHeaders): ResponseHeaders {
        val callerHeaders = protocol.callerHeaders(headers)
        if (request.route.repeatability != Repeatability.RESUMABLE) return callerHeaders
        return callerHeaders.toBuilder().removeAndThen(HttpHeaderNames.CONTENT_LENGTH).build()
    }

    private fun isEventStream(headers: ResponseHeaders): Boolean =
        headers.contentType()?.`is`(MediaType.EVENT_STREAM) ?: true

    private suspend fun relayBuffered(response: SendResult.Responded): String? {
        val reservation = buffers.reserve()
        return try {
            relayBuffered(response, reservation)
        } finally {
            reservation.release()
        }
    }

    private suspend fun relayBuffered(
        response: SendResult.Responded,
        reservation: BufferReservation
    ): String? {
        val chunks = ArrayList<HttpData>()
        val failure = readBody(response) {
            hold(reservation.bytes + it.length(), reservation, MAX_BUFFERED_BYTES)
            chunks.add(it)
        }
        if (failure != null) return failure
        recordAnswered()
        writer.writeHead(protocol.callerHeaders(response.headers))
        chunks.forEach { writer.writeBody(it) }
        writer.complete()
        return null
    }

    private suspend fun relayStream(response: SendResult.Responded, isResumed: Boolean): String? {
        val reservation = buffers.reserve()
        return try {
            relayStream(response, isResumed, reservation)
        } finally {
            reservation.release()
        }
    }

    private suspend fun relayStream(
        response: SendResult.Responded,
        isResumed: Boolean,
        reservation: BufferReservation
    ): String? {
        val isResumable = request.route.repeatability == Repeatability.RESUMABLE
        val scanner = EventScanner()
        val failure = readBody(response) { data ->
            val bytes = data.array()
            val completeBytes = scanner.scan(bytes)
            val passedBytes = if (isResumable) eventSplitter.append(bytes, completeBytes) else bytes
            if (scanner.hasCompleteEvent) recordAnswered()
            if (isResumable) hold(scanner.partialEventBytes.toLong(), reservation, MAX_EVENT_BYTES)
            if (passedBytes.isNotEmpty()) writer.writeBody(HttpData.wrap(passedBytes))
        }
        partialEventBytes = scanner.partialEventBytes
        // A client that takes up a stream knows whether the events that it has are all.
        val mayBeEmpty = !isResumed && request.head.lastEventId != null
        return when {
            failure != null -> failure
            scanner.partialEventBytes > 0 -> "the stream ended within an event"
            scanner.hasCompleteEvent || mayBeEmpty -> null
            else -> "the stream ended before its first event"
        }
    }

    /** Takes [bytes] for a response; throws [IOException] if it is too large or has no room. */
    private fun hold(bytes: Long, reservation: BufferReservation, maxBytes: Int) {
        if (bytes > maxBytes) throw IOException("more than $maxBytes bytes to hold")
        if (!reservation.tryResize(bytes)) throw IOException("no memory for the response")
    }

    private fun recordAnswered() {
        if (isAnswered) return
        isAnswered = true
        onAnswered()
    }

    /** Passes the body to [onChunk]; returns why it is incomplete, null if it has ended. */
    @Suppress("TooGenericExceptionCaught")
    private suspend fun readBody(
        response: SendResult.Responded,
        onChunk: suspend (HttpData) -> Unit
    ): String? {
        framing = response.framing
        return try {
            response.body.collect { onChunk(it) }
            null
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            "the response was cut off: $e"
        }
    }

    private companion object {
        /** Above the largest response, and small enough for several at a time in the heap. */
        const val MAX_BUFFERED_BYTES = 4 * 1_024 * 1_024

        /** Far above the few hundred bytes of an event. */
        const val MAX_EVENT_BYTES = 256 * 1_024
    }
}
