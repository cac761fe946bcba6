package mustarddale.cli

import com.openai.client.okhttp.OpenAIOkHttpClient
import com.openai.models.chat.completions.ChatCompletionCreateParams
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.TestInstance

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CallerApiTest {
    private val stack = TestStack()

    @BeforeAll
    fun start() {
        stack.start()
    }

    @AfterAll
    fun stop() = stack.close()

    private data class Rejection(
        val name: String,
        val path: String,
        val body: String,
        val key: String?,
        val status: Int,
        val kind: String
    )

    private val chatPath = "/v1/chat/completions"
    private val cases = listOf(
        Rejection("no key", chatPath, stack.chatBody("hi"), null, 401, "key_missing"),
        Rejection("wrong key", chatPath, stack.chatBody("hi"), "wrong", 401, "key_unknown"),
        Rejection("wrong model", chatPath, stack.chatBody("hi", "m9"), KEY, 404, "model_not_found"),
        Rejection("bad JSON", chatPath, "{", KEY, 400, "invalid_request"),
        Rejection("no messages", chatPath, """{"model":"m1"}""", KEY, 400, "invalid_request"),
        Rejection("10 MB body", chatPath, "x".repeat(10_000_000), KEY, 413, "body_too_large"),
        Rejection("key in body", chatPath, stack.chatBody(KEY), KEY, 400, "key_in_body"),
        Rejection("no route", "/nowhere", "{}", KEY, 404, "route_not_found"),
        Rejection("no idempotency key", "/bookings", "{}", KEY, 400, "idempotency_key_missing")
    )

    @TestFactory
    fun `refuses an invalid request with its error`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val response = stack.send(0, case.path, case.body, key = case.key).join()
            assertEquals(case.status, response.status().code())
            assertEquals(case.kind, response.kind)
            assertTrue(response.saysNotExecuted)
        }
    }

    private val keyPlacements = listOf(
        "bearer" to listOf("authorization" to "Bearer $KEY"),
        "x-api-key" to listOf("x-api-key" to KEY),
        "api-key" to listOf("api-key" to KEY),
        "cookie" to listOf("cookie" to "api_key=$KEY; other=1"),
        "bearer and copies in other headers" to
            listOf("authorization" to "Bearer $KEY", "traceparent" to KEY, "accept" to "a/$KEY")
    )

    @TestFactory
    fun `accepts the key in every place and forwards it to no backend server`(): List<DynamicTest> =
        keyPlacements.map { (name, headers) ->
            DynamicTest.dynamicTest(name) {
                val body = stack.chatBody("place $name")
                val response = stack.send(0, chatPath, body, headers, key = null).join()
                assertEquals(200, response.status().code())
                val booking = headers + ("idempotency-key" to "k-$name")
                stack.send(0, "/bookings?key=$KEY&z=$KEY&q=1", "{}", booking, key = null).join()
                val calls = stack.engines.flatMap { it.callLog.calls } + stack.service.callLog.calls
                assertTrue(calls.isNotEmpty())
                assertFalse(calls.any { KEY in it.toString() }, "a backend server saw the key")
            }
        }

    @Test
    fun `serves the OpenAI client library`() {
        val client = OpenAIOkHttpClient.builder()
            .baseUrl("${stack.url(0)}/v1")
            .apiKey(KEY)
            .build()
        val params = ChatCompletionCreateParams.builder()
            .model("m1")
            .addUserMessage("Grade this sleeper.")
            .build()
        val completion = client.chat().completions().create(params)
        val text = completion.choices().first().message().content().get()
        val streamed = client.chat().completions().createStreaming(params).use { stream ->
            stream.stream().toList()
                .flatMap { it.choices() }
                .joinToString("") { it.delta().content().orElse("") }
        }
        assertEquals(text, streamed)
        assertTrue(client.models().list().data().any { it.id() == "m1-a" })
        client.close()
    }

    @Test
    fun `loads a model that no engine holds and unloads another to free memory`() {
        listOf("m2", "m3", "m1", "m1-a").forEach { model ->
            val response = stack.chat(0, model = model)
            assertEquals(200, response.status().code(), response.contentUtf8())
        }
        stack.engines.forEach {
            assertTrue(
                it.memory.peakHeldBytes <= TestStack.MEMORY_BYTES,
                "${it.memory.peakHeldBytes}"
            )
        }
    }

    @Test
    fun `an open route needs no key`() {
        val response = stack.send(0, "/lookups/x?q=abc", "", key = null).join()
        assertContains(response.contentUtf8(), "abc")
    }

    private companion object {
        const val KEY = TestStack.KEY
    }
}
