package mustarddale.cli.demo

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders

/** Sends a streamed chat, a look-up and a booking to the instance at [url]. */
internal class DemoCheck(private val url: String, private val key: String) {
    private val client = WebClient.of(url)

    /** Prints the result of each request and returns whether all are as expected. */
    fun run(): Boolean = listOf(chat(), lookup(), booking()).all { it }

    private fun chat(): Boolean {
        val body = """{"model":"report-1","stream":true,""" +
            """"messages":[{"role":"user","content":"Grade sleeper 14: two end splits."}]}"""
        val response = post("/v1/chat/completions", body, "")
        val events = response.contentUtf8().lines().filter { it.startsWith("data: ") }
        val isComplete = response.status().code() == OK && events.lastOrNull() == "data: [DONE]"
        return printResult("streamed chat", "${events.size} events", isComplete)
    }

    private fun lookup(): Boolean {
        val response = client.get("/lookups/plants?q=stonecrop").aggregate().join()
        return printResult("look-up", response.contentUtf8(), response.status().code() == OK)
    }

    private fun booking(): Boolean {
        val id = "demo-check-$url-${System.nanoTime()}"
        val first = post("/bookings", BOOKING, id)
        val second = post("/bookings", BOOKING, id)
        val isSame = first.status().code() == CREATED && first.contentUtf8() == second.contentUtf8()
        return printResult("booking, sent twice", second.contentUtf8(), isSame)
    }

    private fun post(path: String, body: String, idempotencyKey: String): AggregatedHttpResponse {
        val headers = RequestHeaders.builder(HttpMethod.POST, path)
            .contentType(MediaType.JSON)
            .add("authorization", "Bearer $key")
        if (idempotencyKey.isNotEmpty()) headers.add("idempotency-key", idempotencyKey)
        val request = HttpRequest.of(headers.build(), HttpData.ofUtf8(body))
        return client.execute(request).aggregate().join()
    }

    private fun printResult(request: String, response: String, isPassed: Boolean): Boolean {
        println("${if (isPassed) "ok  " else "FAIL"} $url $request: $response")
        return isPassed
    }

    private companion object {
        const val OK = 200
        const val CREATED = 201
        const val BOOKING = """{"sleepers":40,"date":"2026-12-11"}"""
    }
}
