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
class PathTest {
    private val stack = TestStack()

    @BeforeAll
    fun start() {
        stack.start()
    }

    @AfterAll
    fun stop() = stack.close()

    private data class Row(
        val name: String,
        val path: String,
        val body: String,
        val key: String?,
        val status: Int,
        val kind: String
    )

    private val chat = "/v1/chat/completions"
    private val rows = listOf(
        Row("no key", chat, stack.chatBody("hi"), null, 401, "key_missing"),
        Row("wrong key", chat, stack.chatBody("hi"), "wrong", 401, "key_unknown"),
        Row("unknown model", chat, stack.chatBody("hi", "m9"), KEY, 404, "model_not_found"),
        Row("bad JSON", chat, "{", KEY, 400, "invalid_request"),
        Row("no messages", chat, """{"model":"m1"}""", KEY, 400, "invalid_request"),
        Row("10 MB body", chat, "x".repeat(10_000_000), KEY, 413, "body_too_large"),
        Row("key in body", chat, stack.chatBody(KEY), KEY, 400, "key_in_body"),
        Row("no route", "/nowhere", "{}", KEY, 404, "route_not_found"),
        Row("booking without key", "/bookings", "{}", KEY, 400, "idempotency_key_missing")
    )

    @TestFactory
    fun `refuses bad input at once with a clear error`(): List<DynamicTest> = rows.map { row ->
        DynamicTest.dynamicTest(row.name) {
            val response = stack.send(0, row.path, row.body, key = row.key).join()
            assertEquals(row.status, response.status().code())
            assertEquals(row.kind, response.kind)
            assertTrue(response.saysNotRun)
        }
    }

    private val places = listOf(
        "bearer" to listOf("authorization" to "Bearer $KEY"),
        "x-api-key" to listOf("x-api-key" to KEY),
        "api-key" to listOf("api-key" to KEY),
        "cookie" to listOf("cookie" to "api_key=$KEY; other=1"),
        "bearer and stray copies" to
            listOf("authorization" to "Bearer $KEY", "traceparent" to KEY, "accept" to "a/$KEY")
    )

    @TestFactory
    fun `the key opens from every place and reaches no backend server`(): List<DynamicTest> =
        places.map { (name, headers) ->
            DynamicTest.dynamicTest(name) {
                val body = stack.chatBody("place $name")
                val answer = stack.send(0, chat, body, headers, key = null).join()
                assertEquals(200, answer.status().code())
                val booking = headers + ("idempotency-key" to "k-$name")
                stack.send(0, "/bookings?key=$KEY&z=$KEY&q=1", "{}", booking, key = null).join()
                val calls = stack.engines.flatMap { it.callLog.calls } + stack.service.callLog.calls
                assertTrue(calls.isNotEmpty())
                assertFalse(calls.any { KEY in it.toString() }, "a backend server saw the key")
            }
        }

    @Test
    fun `an OpenAI client library works unchanged`() {
        val client = OpenAIOkHttpClient.builder()
            .baseUrl("${stack.url(0)}/v1")
            .apiKey(KEY)
            .build()
        val params = ChatCompletionCreateParams.builder()
            .model("m1")
            .addUserMessage("Grade this sleeper.")
            .build()
        val plain = client.chat().completions().create(params)
        val text = plain.choices().first().message().content().get()
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
    fun `a model that is resident nowhere is loaded, another making room for it`() {
        listOf("m2", "m3", "m1", "m1-a").forEach { model ->
            val answer = stack.chat(0, model = model)
            assertEquals(200, answer.status().code(), answer.contentUtf8())
        }
        stack.engines.forEach {
            assertTrue(it.memory.peakHeldBytes <= TestStack.MEMORY, "${it.memory.peakHeldBytes}")
        }
    }

    @Test
    fun `an open route needs no key`() {
        val answer = stack.send(0, "/lookups/x?q=abc", "", key = null).join()
        assertContains(answer.contentUtf8(), "abc")
    }

    private companion object {
        const val KEY = TestStack.KEY
    }
}
