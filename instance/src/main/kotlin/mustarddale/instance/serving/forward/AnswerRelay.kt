/*
 * Brings a backend server's answer to the caller: plain answers once they are whole, events as they
 * arrive. A stream that may be resumed is passed on in whole events, so that another server can go
 * on behind the last one.
 */
package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.HttpData
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.reactive.collect
import mustarddale.instance.serving.protocol.ServingProtocol
import mustarddale.serving.config.Repeatability

/** Relays the answers to [request] to its caller. */
internal class AnswerRelay(
    private val request: Admitted,
    private val writer: AnswerWriter,
    private val protocol: ServingProtocol
) {
    private val events = EventTracker(request.head.lastEventId)

    /** The event behind which the next server has to go on, null for the whole stream. */
    val lastEventId: String? get() = events.lastEventId

    /** Relays an answer; returns why it broke, null if it is whole. */
    suspend fun relay(start: ExchangeStart.Answered): String? {
        val isResumed = writer.hasBegun
        val status = start.headers.status()
        if (isResumed && !status.isSuccess) return "the resumed stream was answered $status"
        if (!request.route.isStream || !status.isSuccess) return relayWhole(start)
        if (!isResumed) writer.head(protocol.callerHeaders(start.headers))
        val failure = relayEvents(start)
        events.dropPart()
        if (failure == null) writer.complete()
        return failure
    }

    private suspend fun relayWhole(start: ExchangeStart.Answered): String? {
        val parts = ArrayList<HttpData>()
        collect(start) { parts.add(it) }?.let { return it }
        writer.head(protocol.callerHeaders(start.headers))
        parts.forEach { writer.part(it) }
        writer.complete()
        return null
    }

    private suspend fun relayEvents(start: ExchangeStart.Answered): String? {
        val isResumable = request.route.repeatability == Repeatability.RESUMABLE
        val failure = collect(start) { data ->
            val whole = if (isResumable) events.take(data.array()) else data.array()
            if (whole.isNotEmpty()) writer.part(HttpData.wrap(whole))
        }
        return failure ?: "the stream ended within an event".takeIf { events.hasPart }
    }

    /** Hands each part of the body to [take]; returns why the body broke, null if it is whole. */
    @Suppress("TooGenericExceptionCaught")
    private suspend fun collect(
        start: ExchangeStart.Answered,
        take: suspend (HttpData) -> Unit
    ): String? {
        try {
            start.body.collect { take(it) }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            return "answer cut: $e"
        }
        return "the connection was reset within the answer".takeIf {
            start.connection?.wasCut == true
        }
    }
}
