/*
 * Brings one whole answer from engines to a caller. A stream that is cut, silent or has a gap is
 * taken up again at its next missing token: first on a new connection to the same engine, then on
 * another engine, which continues from the text so far.
 */
package mustarddale.instance.caller

import java.util.UUID
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.ClosedReceiveChannelException
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.answer.FrameDecision
import mustarddale.answer.StreamAssembler
import mustarddale.answer.StreamFrame
import mustarddale.config.BackendServer
import mustarddale.config.ConfigurationIndex
import mustarddale.dispatch.DispatchRequest
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure
import mustarddale.instance.decision.DispatchLoop
import mustarddale.instance.decision.DispatchLoop.Update
import mustarddale.instance.engine.EngineCall
import mustarddale.instance.engine.EngineClient
import mustarddale.instance.engine.EngineEvent

/** Takes the frames of one answer in order. */
public interface AnswerSink {
    /** Takes [frame]; returns the text that it adds to the answer. */
    public suspend fun take(frame: StreamFrame): String
}

/** Relays answers of engines. */
public class AnswerRelay(
    private val engines: EngineClient,
    private val admitter: Admitter,
    private val decisions: DispatchLoop,
    private val silenceMillis: Long
) {
    /** Relays the answer to [chat], whose first attempt may use [first]. */
    public suspend fun relay(
        chat: ChatRequest,
        work: DispatchRequest,
        first: Grant,
        index: ConfigurationIndex,
        sink: AnswerSink
    ): Outcome<Unit> {
        val requestId = "chatcmpl-" + UUID.randomUUID()
        var progress = Progress(StreamAssembler(requestId))
        var grant = first
        var excluded = emptySet<String>()
        var mayHaveRun = false
        repeat(MAX_ATTEMPTS) {
            val attempt = attemptAt(index.server(grant.server), grant, progress, chat, sink)
            progress = attempt.progress
            when (val end = attempt.end) {
                is AttemptEnd.Done -> return Outcome.Success(Unit)
                is AttemptEnd.Invalid -> return invalid(end)
                is AttemptEnd.NotRun -> decisions.post(newsOf(end, grant.server))

                is AttemptEnd.Cut -> {
                    mayHaveRun = true
                    decisions.post(Update.ConnectionFailed(grant.server))
                }
            }
            excluded = excluded + grant.server
            val retry = work.copy(reservedTokens = 0.0, excludedServers = excluded)
            grant = when (val again = admitter.admit(retry, account = null)) {
                is Outcome.Success -> again.value
                is Outcome.Failure -> return if (mayHaveRun) exhausted() else again
            }
        }
        admitter.finish(grant)
        return failure(ErrorKind.BACKEND_FAILED, "the answer was cut $MAX_ATTEMPTS times")
    }

    /** An engine that refused is there, but may not be as warm or as filled as it was. */
    private fun newsOf(end: AttemptEnd.NotRun, server: String): Update =
        if (end.wasReached) Update.ServerCold(server) else Update.ConnectionFailed(server)

    private suspend fun attemptAt(
        server: BackendServer?,
        grant: Grant,
        start: Progress,
        chat: ChatRequest,
        sink: AnswerSink
    ): Attempt {
        val call = EngineCall(start.assembler.requestId, chat.body)
        try {
            if (server == null) return Attempt(start, AttemptEnd.NotRun(wasReached = true))
            return attempts(server, call, start, sink)
        } catch (e: CancellationException) {
            withContext(NonCancellable) { server?.let { engines.cancel(it, call.requestId) } }
            throw e
        } finally {
            admitter.finish(grant)
        }
    }

    private suspend fun attempts(
        server: BackendServer,
        call: EngineCall,
        start: Progress,
        sink: AnswerSink
    ): Attempt {
        val first = attempt(server, engines.answer(server, call.at(start)), start, sink)
        if (first.end !is AttemptEnd.Cut) return first
        val rest = engines.resume(server, call.at(first.progress))
        val second = attempt(server, rest, first.progress, sink)
        val isForgotten = second.end is AttemptEnd.NotRun
        return if (isForgotten) second.copy(end = first.end) else second
    }

    private suspend fun attempt(
        server: BackendServer,
        events: Flow<EngineEvent>,
        start: Progress,
        sink: AnswerSink
    ): Attempt = coroutineScope {
        val channel = events.produceIn(this)
        try {
            collect(server, channel, start, sink)
        } finally {
            channel.cancel()
        }
    }

    private suspend fun collect(
        server: BackendServer,
        channel: ReceiveChannel<EngineEvent>,
        start: Progress,
        sink: AnswerSink
    ): Attempt {
        var progress = start
        while (true) {
            val event = next(channel)
            if (event is EngineEvent.Cold) decisions.post(Update.ServerCold(server.name))
            val end = if (event is EngineEvent.Frame) {
                val verdict = progress.assembler.accept(event.frame)
                if (verdict is FrameDecision.Deliver) {
                    val text = sink.take(event.frame)
                    progress = Progress(verdict.nextAssembler, progress.text + text)
                }
                endOf(verdict)
            } else {
                endOf(event)
            }
            if (end != null) return Attempt(progress, end)
        }
    }

    private fun endOf(verdict: FrameDecision): AttemptEnd? = when (verdict) {
        is FrameDecision.Deliver -> AttemptEnd.Done.takeIf { verdict.nextAssembler.isComplete }
        is FrameDecision.Drop -> null
        is FrameDecision.Gap -> AttemptEnd.Cut("frames from ${verdict.fromOffset} on are missing")
    }

    private fun endOf(event: EngineEvent?): AttemptEnd? = when (event) {
        is EngineEvent.NotRun -> AttemptEnd.NotRun(event.wasReached)
        is EngineEvent.Invalid -> AttemptEnd.Invalid(event.message)
        is EngineEvent.Cut -> AttemptEnd.Cut(event.reason)
        null -> AttemptEnd.Cut("silent for $silenceMillis ms")
        is EngineEvent.Alive, is EngineEvent.Cold, is EngineEvent.Frame -> null
    }

    private suspend fun next(channel: ReceiveChannel<EngineEvent>): EngineEvent? = try {
        withTimeoutOrNull(silenceMillis) { channel.receive() }
    } catch (_: ClosedReceiveChannelException) {
        EngineEvent.Cut("the stream ended")
    }

    /** An engine had the request, so it must not be called not run. */
    private fun exhausted(): Outcome.Failure =
        failure(ErrorKind.BACKEND_FAILED, "the answer was cut and could not be resumed")

    private fun invalid(end: AttemptEnd.Invalid): Outcome.Failure =
        failure(ErrorKind.INVALID_REQUEST, "the engine refused the request: ${end.message}")

    private fun EngineCall.at(progress: Progress): EngineCall =
        copy(fromOffset = progress.assembler.nextOffset, soFar = progress.text)

    private data class Progress(val assembler: StreamAssembler, val text: String = "")

    private data class Attempt(val progress: Progress, val end: AttemptEnd)

    private sealed interface AttemptEnd {
        data object Done : AttemptEnd
        data class NotRun(val wasReached: Boolean) : AttemptEnd
        data class Invalid(val message: String) : AttemptEnd
        data class Cut(val reason: String) : AttemptEnd
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
    }
}
