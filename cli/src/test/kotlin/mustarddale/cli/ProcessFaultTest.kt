package mustarddale.cli

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.io.TempDir

class ProcessFaultTest {
    private class RequestAttempt(val key: String, val status: Int, val text: String)

    private class Caller(private val ports: List<Int>) {
        val bookings = ConcurrentLinkedQueue<RequestAttempt>()
        val chats = ConcurrentLinkedQueue<RequestAttempt>()

        /** Sends a booking through the instances in turn until one reports that it was executed. */
        fun book(number: Int) {
            val key = "booking-$number"
            for (attempt in 0 until 6) {
                val response = send(ports[(number + attempt) % 3], "/bookings", "{}", key)
                bookings.add(RequestAttempt(key, response.first, response.second))
                if (response.first == 201) return
            }
        }

        fun chat(number: Int) {
            val body = """{"model":"m1","stream":true,""" +
                """"messages":[{"role":"user","content":"chat $number"}]}"""
            val response = send(ports[number % 3], "/v1/chat/completions", body, null)
            chats.add(RequestAttempt("chat-$number", response.first, response.second))
        }

        private fun send(port: Int, path: String, body: String, key: String?): Pair<Int, String> {
            val headers = RequestHeaders.builder(HttpMethod.POST, path)
                .contentType(MediaType.JSON)
                .add("authorization", "Bearer ${TestStack.KEY}")
            if (key != null) headers.add("idempotency-key", key)
            val client = WebClient.builder("http://127.0.0.1:$port")
                .responseTimeoutMillis(15_000)
                .build()
            val request = HttpRequest.of(headers.build(), HttpData.ofUtf8(body))
            return client.execute(request).aggregate()
                .handle { result, error ->
                    if (error != null) 0 to "" else result.status().code() to result.contentUtf8()
                }
                .join()
        }
    }

    @Test
    fun `killed and suspended instances cause no double booking and no silently cut response`(
        @TempDir directory: Path
    ) {
        MultiProcessStack(directory).use { stack ->
            stack.start(TestStack.configuration())
            val caller = Caller(stack.callerPorts)
            val load = (0 until 60).map { number ->
                CompletableFuture.runAsync {
                    caller.book(number)
                    caller.chat(number)
                }
            }
            load[5].join()
            stack.instances[1].suspendProcess()
            load[15].join()
            stack.instances[2].kill()
            load[25].join()
            stack.instances[1].resumeProcess()
            load.forEach { it.join() }
            assertTrue(stack.instances[0].isAlive && stack.instances[1].isAlive)
            checkBookings(caller, fetchRunCounts(stack.servicePort))
            checkChats(caller)
            assertEquals(0, stack.instances[0].terminate())
            assertEquals(0, stack.instances[1].terminate())
        }
    }

    private fun checkBookings(caller: Caller, counts: Map<String, Int>) {
        assertTrue(counts.values.all { it == 1 }, "run twice: ${counts.filterValues { it > 1 }}")
        val byKey = caller.bookings.groupBy { it.key }
        assertTrue(byKey.size == 60)
        byKey.forEach { (key, attempts) ->
            if (attempts.any { it.status == 201 }) assertEquals(1, counts[key], key)
            val saysNotExecuted = attempts.all { "\"executed\":\"no\"" in it.text }
            if (saysNotExecuted) assertEquals(null, counts[key], key)
        }
        assertTrue(byKey.values.count { attempts -> attempts.any { it.status == 201 } } >= 30)
    }

    private fun checkChats(caller: Caller) {
        caller.chats.filter { it.status == 200 }.forEach {
            val isComplete = it.text.trimEnd().endsWith("data: [DONE]")
            assertTrue(isComplete || "\"error\"" in it.text, it.text)
        }
        assertTrue(caller.chats.count { it.status == 200 } >= 20)
    }

    private fun fetchRunCounts(servicePort: Int): Map<String, Int> {
        val text = WebClient.of("http://127.0.0.1:$servicePort")
            .get("/stand-in/calls")
            .aggregate()
            .join()
            .contentUtf8()
        return Json.parseToJsonElement(text).jsonArray
            .flatMap { it.jsonObject.getValue("headers").jsonArray }
            .map { it.jsonPrimitive.content }
            .filter { it.startsWith("idempotency-key: ") }
            .groupingBy { it.removePrefix("idempotency-key: ") }
            .eachCount()
    }
}
