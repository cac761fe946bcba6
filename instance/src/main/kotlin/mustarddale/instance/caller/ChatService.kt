/*
 * Chat completions. Engines always stream a completion; a caller who did not request a stream
 * receives the whole completion at its end.
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
    private val admissionController: AdmissionController,
    private val relay: CompletionRelay,
    private val dispatchLoop: DispatchLoop,
    private val clock: Clock
) {
    /** Handles [request] under the configuration [index]; a stream is written from [scope]. */
    public suspend fun serve(
        request: CallerRequest,
        index: ConfigurationIndex,
        scope: CoroutineScope
    ): HttpResponse {
        val outcome = request.authenticate(index).flatMap { caller ->
            request.keyFreeBody()
                .flatMap { ChatRequest.parse(it, index) }
                .flatMap { admit(it, caller) }
        }
        return when (outcome) {
            is Outcome.Failure -> ErrorResponse.of(outcome.refusal)
            is Outcome.Success -> respond(outcome.value, index, scope)
        }
    }

    private suspend fun admit(
        chat: ChatRequest,
        caller: AuthenticatedCaller
    ): Outcome<AdmittedChat> {
        val dispatchRequest = DispatchRequest(
            service = chat.entry.service,
            account = caller.account.name,
            model = chat.entry.model.name,
            adapter = chat.entry.adapter?.name,
            reservedTokens = chat.reservedTokens
        )
        return admissionController.admit(dispatchRequest, caller.account).flatMap { grant ->
            val admitted = AdmittedChat(chat, dispatchRequest, grant)
            if (store.state.index.accountByKeyDigest(caller.keySha256) != null) {
                Outcome.Success(admitted)
            } else {
                admissionController.finish(grant)
                refund(admitted, usedTokens = 0.0)
                Outcome.Failure(Refusal(ErrorKind.KEY_UNKNOWN, "the API key was withdrawn"))
            }
        }
    }

    private suspend fun respond(
        admitted: AdmittedChat,
        index: ConfigurationIndex,
        scope: CoroutineScope
    ): HttpResponse {
        if (!admitted.chat.isStreamed) return respondWhole(admitted, index)
        val response = HttpResponse.streaming()
        scope.launch { respondStreamed(admitted, index, response) }
        return response
    }

    private suspend fun respondWhole(
        admitted: AdmittedChat,
        index: ConfigurationIndex
    ): HttpResponse {
        val sink = BufferingSink(admitted.chat.entry.publicName, clock.wallMillis())
        return when (val outcome = relayTo(admitted, index, sink)) {
            is Outcome.Failure -> ErrorResponse.of(outcome.refusal)

            is Outcome.Success ->
                HttpResponse.of(HttpStatus.OK, MediaType.JSON, sink.completion().toString())
        }
    }

    private suspend fun respondStreamed(
        admitted: AdmittedChat,
        index: ConfigurationIndex,
        response: HttpResponseWriter
    ) {
        val sink = StreamingSink(admitted.chat, response)
        try {
            when (val outcome = relayTo(admitted, index, sink)) {
                is Outcome.Failure -> sink.fail(outcome.refusal)
                is Outcome.Success -> sink.finish()
            }
        } catch (e: CancellationException) {
            response.abort()
            throw e
        }
    }

    private suspend fun relayTo(
        admitted: AdmittedChat,
        index: ConfigurationIndex,
        sink: UsageSink
    ): Outcome<Unit> {
        try {
            val outcome =
                relay.relay(admitted.chat, admitted.dispatchRequest, admitted.grant, index, sink)
            val refusal = (outcome as? Outcome.Failure)?.refusal
            val isNotExecuted = refusal?.kind?.executed == Executed.NO
            refund(admitted, if (isNotExecuted) 0.0 else sink.usedTokens(admitted.chat))
            return outcome
        } catch (e: CancellationException) {
            refund(admitted, sink.usedTokens(admitted.chat))
            throw e
        }
    }

    private fun refund(admitted: AdmittedChat, usedTokens: Double) {
        val unused = admitted.dispatchRequest.reservedTokens - usedTokens
        val account = admitted.dispatchRequest.account
        if (account != null && unused > 0) dispatchLoop.post(Update.TokensReturned(account, unused))
    }

    private data class AdmittedChat(
        val chat: ChatRequest,
        val dispatchRequest: DispatchRequest,
        val grant: Grant
    )

    /** Records the token usage that the engine reports with a completion. */
    private abstract class UsageSink : FrameSink {
        private var totalTokens: Long? = null

        override suspend fun deliver(frame: StreamFrame): String {
            val chunk = ChatChunk(frame.data)
            chunk.totalTokens?.let { totalTokens = it }
            deliverChunk(chunk)
            return chunk.text
        }

        /** Returns the tokens that [chat] used, or all it reserved if the engine reported none. */
        fun usedTokens(chat: ChatRequest): Double = totalTokens?.toDouble() ?: chat.reservedTokens

        protected abstract suspend fun deliverChunk(chunk: ChatChunk)
    }

    private class BufferingSink(private val model: String, private val createdMillis: Long) :
        UsageSink() {
        private val text = StringBuilder()
        private var finishReason: String? = null
        private var usage: JsonObject? = null

        override suspend fun deliverChunk(chunk: ChatChunk) {
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

    private class StreamingSink(
        private val chat: ChatRequest,
        private val response: HttpResponseWriter
    ) : UsageSink() {
        private var hasSentHeaders = false

        override suspend fun deliverChunk(chunk: ChatChunk) {
            sendHeadersOnce()
            send(chunk.toCallerJson(chat.entry.publicName, chat.includesUsage))
        }

        suspend fun finish() {
            sendHeadersOnce()
            send("[DONE]")
            response.close()
        }

        suspend fun fail(refusal: Refusal) {
            if (!hasSentHeaders) {
                val errorResponse = ErrorResponse.of(refusal).aggregate().await()
                response.write(errorResponse.headers())
                response.write(errorResponse.content())
            } else {
                send(ErrorResponse.json(refusal))
            }
            response.close()
        }

        private fun sendHeadersOnce() {
            if (hasSentHeaders) return
            hasSentHeaders = true
            val headers = ResponseHeaders.builder(HttpStatus.OK)
                .contentType(MediaType.EVENT_STREAM)
                .add("cache-control", "no-cache")
                .build()
            response.write(headers)
        }

        private suspend fun send(data: String) {
            val isWritten = response.tryWrite(HttpData.ofUtf8("data: $data\n\n"))
            if (!isWritten) throw CancellationException("the caller closed the connection")
            response.whenConsumed().await()
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
