/*
 * Relays one chat completion from engines to a caller. A stream that is interrupted, idle for too
 * long or has a gap is resumed at its first missing token: first on a new connection to the same
 * engine, then on another engine, which continues from the text received so far.
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
import mustarddale.instance.engine.EngineClient
import mustarddale.instance.engine.EngineEvent
import mustarddale.instance.engine.EngineRequest

/** Receives the frames of one completion in order. */
public interface FrameSink {
    /** Delivers [frame] to the caller; returns the text that it adds to the completion. */
    public suspend fun deliver(frame: StreamFrame): String
}

/**
 * Relays completions of engines to callers.
 *
 * @param silenceMillis idle timeout after which a stream counts as interrupted.
 */
public class CompletionRelay(
    private val engines: EngineClient,
    private val admissionController: AdmissionController,
    private val dispatchLoop: DispatchLoop,
    private val silenceMillis: Long
) {
    /**
     * Relays the completion for [chat] to [sink], in up to [MAX_ATTEMPTS] attempts.
     *
     * @param firstGrant the grant of the first attempt.
     */
    public suspend fun relay(
        chat: ChatRequest,
        dispatchRequest: DispatchRequest,
        firstGrant: Grant,
        index: ConfigurationIndex,
        sink: FrameSink
    ): Outcome<Unit> {
        val requestId = "chatcmpl-" + UUID.randomUUID()
        var progress = Progress(StreamAssembler(requestId))
        var grant = firstGrant
        var excluded = emptySet<String>()
        var mayHaveRun = false
        repeat(MAX_ATTEMPTS) {
            val attempt = attemptOn(index.server(grant.server), grant, progress, chat, sink)
            progress = attempt.progress
            when (val outcome = attempt.outcome) {
                is AttemptOutcome.Completed -> return Outcome.Success(Unit)
                is AttemptOutcome.InvalidRequest -> return invalidRequest(outcome)
                is AttemptOutcome.NotExecuted -> dispatchLoop.post(updateFor(outcome, grant.server))

                is AttemptOutcome.Interrupted -> {
                    mayHaveRun = true
                    dispatchLoop.post(Update.ConnectionFailed(grant.server))
                }
            }
            excluded = excluded + grant.server
            val retry = dispatchRequest.copy(reservedTokens = 0.0, excludedServers = excluded)
            grant = when (val readmission = admissionController.admit(retry, account = null)) {
                is Outcome.Success -> readmission.value
                is Outcome.Failure -> return if (mayHaveRun) interrupted() else readmission
            }
        }
        admissionController.finish(grant)
        return failure(ErrorKind.BACKEND_FAILED, "all $MAX_ATTEMPTS attempts failed")
    }

    /**
     * A server that refused a request is running, but may have gone cold or have lost artifacts
     * since its last load report.
     */
    private fun updateFor(outcome: AttemptOutcome.NotExecuted, server: String): Update =
        if (outcome.wasReached) Update.ServerCold(server) else Update.ConnectionFailed(server)

    private suspend fun attemptOn(
        server: BackendServer?,
        grant: Grant,
        start: Progress,
        chat: ChatRequest,
        sink: FrameSink
    ): Attempt {
        val request = EngineRequest(start.assembler.requestId, chat.body)
        try {
            if (server == null) return Attempt(start, AttemptOutcome.NotExecuted(wasReached = true))
            return startAndResume(server, request, start, sink)
        } catch (e: CancellationException) {
            withContext(NonCancellable) { server?.let { engines.cancel(it, request.requestId) } }
            throw e
        } finally {
            admissionController.finish(grant)
        }
    }

    private suspend fun startAndResume(
        server: BackendServer,
        request: EngineRequest,
        start: Progress,
        sink: FrameSink
    ): Attempt {
        val first =
            receive(server, engines.startCompletion(server, request.resumedAt(start)), start, sink)
        if (first.outcome !is AttemptOutcome.Interrupted) return first
        val resumedEvents = engines.resume(server, request.resumedAt(first.progress))
        val second = receive(server, resumedEvents, first.progress, sink)
        val isStreamLost = second.outcome is AttemptOutcome.NotExecuted
        return if (isStreamLost) second.copy(outcome = first.outcome) else second
    }

    private suspend fun receive(
        server: BackendServer,
        events: Flow<EngineEvent>,
        start: Progress,
        sink: FrameSink
    ): Attempt = coroutineScope {
        val channel = events.produceIn(this)
        try {
            collectFrames(server, channel, start, sink)
        } finally {
            channel.cancel()
        }
    }

    private suspend fun collectFrames(
        server: BackendServer,
        channel: ReceiveChannel<EngineEvent>,
        start: Progress,
        sink: FrameSink
    ): Attempt {
        var progress = start
        while (true) {
            val event = nextEvent(channel)
            if (event is EngineEvent.Cold) dispatchLoop.post(Update.ServerCold(server.name))
            val outcome = if (event is EngineEvent.Frame) {
                val decision = progress.assembler.accept(event.frame)
                if (decision is FrameDecision.Deliver) {
                    val text = sink.deliver(event.frame)
                    progress = Progress(decision.nextAssembler, progress.text + text)
                }
                outcomeOf(decision)
            } else {
                outcomeOf(event)
            }
            if (outcome != null) return Attempt(progress, outcome)
        }
    }

    private fun outcomeOf(decision: FrameDecision): AttemptOutcome? = when (decision) {
        is FrameDecision.Deliver -> AttemptOutcome.Completed.takeIf {
            decision.nextAssembler.isComplete
        }

        is FrameDecision.Drop -> null

        is FrameDecision.Gap ->
            AttemptOutcome.Interrupted("frames from offset ${decision.fromOffset} on are missing")
    }

    private fun outcomeOf(event: EngineEvent?): AttemptOutcome? = when (event) {
        is EngineEvent.NotExecuted -> AttemptOutcome.NotExecuted(event.wasReached)
        is EngineEvent.InvalidRequest -> AttemptOutcome.InvalidRequest(event.message)
        is EngineEvent.Interrupted -> AttemptOutcome.Interrupted(event.reason)
        null -> AttemptOutcome.Interrupted("no data for $silenceMillis ms")
        is EngineEvent.KeepAlive, is EngineEvent.Cold, is EngineEvent.Frame -> null
    }

    /** Returns the next event, null if there is none within [silenceMillis]. */
    private suspend fun nextEvent(channel: ReceiveChannel<EngineEvent>): EngineEvent? = try {
        withTimeoutOrNull(silenceMillis) { channel.receive() }
    } catch (_: ClosedReceiveChannelException) {
        EngineEvent.Interrupted("the stream ended before its last frame")
    }

    /** The refusal after an attempt that may have run; it must not rule that out. */
    private fun interrupted(): Outcome.Failure =
        failure(ErrorKind.BACKEND_FAILED, "the response was interrupted and could not be resumed")

    private fun invalidRequest(outcome: AttemptOutcome.InvalidRequest): Outcome.Failure =
        failure(ErrorKind.INVALID_REQUEST, "the engine rejected the request: ${outcome.message}")

    private fun EngineRequest.resumedAt(progress: Progress): EngineRequest =
        copy(resumeOffset = progress.assembler.nextOffset, resumeText = progress.text)

    private data class Progress(val assembler: StreamAssembler, val text: String = "")

    private data class Attempt(val progress: Progress, val outcome: AttemptOutcome)

    private sealed interface AttemptOutcome {
        data object Completed : AttemptOutcome
        data class NotExecuted(val wasReached: Boolean) : AttemptOutcome
        data class InvalidRequest(val message: String) : AttemptOutcome
        data class Interrupted(val reason: String) : AttemptOutcome
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
    }
}
