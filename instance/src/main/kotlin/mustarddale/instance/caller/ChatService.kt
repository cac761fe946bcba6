/*
 * Chat completions. The answer of the engine is always a stream; a caller who did not ask for one
 * gets the whole answer at its end.
 */
package mustarddale.instance.caller

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import java.util.UUID
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import mustarddale.answer.StreamFrame
import mustarddale.config.ConfigurationIndex
import mustarddale.dispatch.DispatchRequest
import mustarddale.error.ErrorKind
import mustarddale.error.Executed
import mustarddale.error.Outcome
import mustarddale.error.Refusal
import mustarddale.error.flatMap
import mustarddale.instance.decision.DispatchLoop
import mustarddale.instance.decision.DispatchLoop.Update
import mustarddale.instance.log.ControlStore
import mustarddale.time.Clock

/** Serves `POST /v1/chat/completions`. */
public class ChatService(
    private val store: ControlStore,
    private val admitter: Admitter,
    private val relay: AnswerRelay,
    private val decisions: DispatchLoop,
    private val clock: Clock
) {
    /** Answers [request] by the configuration [index]. */
    public suspend fun serve(
        request: CallerRequest,
        index: ConfigurationIndex,
        scope: CoroutineScope
    ): HttpResponse {
        val outcome = request.caller(index).flatMap { caller ->
            request.bodyWithoutKeys()
                .flatMap { ChatRequest.read(it, index) }
                .flatMap { admit(it, caller) }
        }
        return when (outcome) {
            is Outcome.Failure -> ErrorAnswer.of(outcome.refusal)
            is Outcome.Success -> answer(outcome.value, index, scope)
        }
    }

    private suspend fun admit(chat: ChatRequest, caller: Caller): Outcome<Admitted> {
        val work = DispatchRequest(
            service = chat.entry.service,
            account = caller.account.name,
            model = chat.entry.model.name,
            adapter = chat.entry.adapter?.name,
            reservedTokens = chat.reservedTokens
        )
        return admitter.admit(work, caller.account).flatMap { grant ->
            val admitted = Admitted(chat, work, grant)
            if (store.state.index.accountByKeyDigest(caller.keySha256) != null) {
                Outcome.Success(admitted)
            } else {
                admitter.finish(grant)
                refund(admitted, usedTokens = 0.0)
                Outcome.Failure(Refusal(ErrorKind.KEY_UNKNOWN, "this key was withdrawn"))
            }
        }
    }

    private suspend fun answer(
        admitted: Admitted,
        index: ConfigurationIndex,
        scope: CoroutineScope
    ): HttpResponse {
        if (!admitted.chat.isStreamed) return whole(admitted, index)
        val response = HttpResponse.streaming()
        scope.launch { stream(admitted, index, response) }
        return response
    }

    private suspend fun whole(admitted: Admitted, index: ConfigurationIndex): HttpResponse {
        val sink = WholeSink(admitted.chat.entry.publicName, clock.wallMillis())
        return when (val outcome = relayTo(admitted, index, sink)) {
            is Outcome.Failure -> ErrorAnswer.of(outcome.refusal)

            is Outcome.Success ->
                HttpResponse.of(HttpStatus.OK, MediaType.JSON, sink.completion().toString())
        }
    }

    private suspend fun stream(
        admitted: Admitted,
        index: ConfigurationIndex,
        response: HttpResponseWriter
    ) {
        val sink = StreamSink(admitted.chat, response)
        try {
            when (val outcome = relayTo(admitted, index, sink)) {
                is Outcome.Failure -> sink.fail(outcome.refusal)
                is Outcome.Success -> sink.end()
            }
        } catch (e: CancellationException) {
            response.abort()
            throw e
        }
    }

    private suspend fun relayTo(
        admitted: Admitted,
        index: ConfigurationIndex,
        sink: CountingSink
    ): Outcome<Unit> {
        try {
            val outcome =
                relay.relay(admitted.chat, admitted.work, admitted.grant, index, sink)
            val refusal = (outcome as? Outcome.Failure)?.refusal
            val isNotRun = refusal?.kind?.executed == Executed.NO
            refund(admitted, if (isNotRun) 0.0 else sink.usedTokens(admitted.chat))
            return outcome
        } catch (e: CancellationException) {
            refund(admitted, sink.usedTokens(admitted.chat))
            throw e
        }
    }

    private fun refund(admitted: Admitted, usedTokens: Double) {
        val unused = admitted.work.reservedTokens - usedTokens
        val account = admitted.work.account
        if (account != null && unused > 0) decisions.post(Update.TokensReturned(account, unused))
    }

    private data class Admitted(val chat: ChatRequest, val work: DispatchRequest, val grant: Grant)

    /** A sink that counts the tokens of the answer. */
    private abstract class CountingSink : AnswerSink {
        private var totalTokens: Long? = null

        override suspend fun take(frame: StreamFrame): String {
            val chunk = ChatChunk(frame.data)
            chunk.totalTokens?.let { totalTokens = it }
            deliver(chunk)
            return chunk.text
        }

        /** What the request used; without word from the engine, all that was reserved. */
        fun usedTokens(chat: ChatRequest): Double = totalTokens?.toDouble() ?: chat.reservedTokens

        protected abstract suspend fun deliver(chunk: ChatChunk)
    }

    private class WholeSink(private val model: String, private val createdMillis: Long) :
        CountingSink() {
        private val text = StringBuilder()
        private var finishReason: String? = null
        private var usage: JsonObject? = null

        override suspend fun deliver(chunk: ChatChunk) {
            text.append(chunk.text)
            chunk.finishReason?.let { finishReason = it }
            chunk.usage?.let { usage = it }
        }

        fun completion(): JsonObject {
            val message = JsonObject(
                mapOf(
                    "role" to JsonPrimitive("assistant"),
                    "content" to JsonPrimitive(text.toString())
                )
            )
            val choice = JsonObject(
                mapOf(
                    "index" to JsonPrimitive(0),
                    "message" to message,
                    "finish_reason" to JsonPrimitive(finishReason)
                )
            )
            return JsonObject(
                mapOf(
                    "id" to JsonPrimitive("chatcmpl-" + UUID.randomUUID()),
                    "object" to JsonPrimitive("chat.completion"),
                    "created" to JsonPrimitive(createdMillis / MILLIS_PER_SECOND),
                    "model" to JsonPrimitive(model),
                    "choices" to JsonArray(listOf(choice)),
                    "usage" to (usage ?: JsonNull)
                )
            )
        }
    }

    private class StreamSink(
        private val chat: ChatRequest,
        private val response: HttpResponseWriter
    ) : CountingSink() {
        private var hasHeaders = false

        override suspend fun deliver(chunk: ChatChunk) {
            startOnce()
            send(chunk.forCaller(chat.entry.publicName, chat.includesUsage))
        }

        suspend fun end() {
            startOnce()
            send("[DONE]")
            response.close()
        }

        suspend fun fail(refusal: Refusal) {
            if (!hasHeaders) {
                val answer = ErrorAnswer.of(refusal).aggregate().await()
                response.write(answer.headers())
                response.write(answer.content())
            } else {
                send(ErrorAnswer.json(refusal))
            }
            response.close()
        }

        private fun startOnce() {
            if (hasHeaders) return
            hasHeaders = true
            val headers = ResponseHeaders.builder(HttpStatus.OK)
                .contentType(MediaType.EVENT_STREAM)
                .add("cache-control", "no-cache")
                .build()
            response.write(headers)
        }

        private suspend fun send(data: String) {
            val isTaken = response.tryWrite(HttpData.ofUtf8("data: $data\n\n"))
            if (!isTaken) throw CancellationException("the caller has gone")
            response.whenConsumed().await()
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
