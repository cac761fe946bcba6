package mustarddale.cli.demo

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders

/** Sends a streamed chat, a look-up and a booking through one instance. */
internal class DemoCheck(private val url: String, private val key: String) {
    private val client = WebClient.of(url)

    /** Whether all three were answered; prints what came back. */
    fun run(): Boolean = listOf(chat(), lookup(), booking()).all { it }

    private fun chat(): Boolean {
        val body = """{"model":"report-1","stream":true,""" +
            """"messages":[{"role":"user","content":"Grade sleeper 14: two end splits."}]}"""
        val response = post("/v1/chat/completions", body, "")
        val events = response.contentUtf8().lines().filter { it.startsWith("data: ") }
        val isWhole = response.status().code() == OK && events.lastOrNull() == "data: [DONE]"
        return report("streamed chat", "${events.size} events", isWhole)
    }

    private fun lookup(): Boolean {
        val response = client.get("/lookups/plants?q=stonecrop").aggregate().join()
        return report("look-up", response.contentUtf8(), response.status().code() == OK)
    }

    private fun booking(): Boolean {
        val id = "demo-check-$url-${System.nanoTime()}"
        val first = post("/bookings", BOOKING, id)
        val second = post("/bookings", BOOKING, id)
        val isOnce = first.status().code() == CREATED && first.contentUtf8() == second.contentUtf8()
        return report("booking, sent twice", second.contentUtf8(), isOnce)
    }

    private fun post(path: String, body: String, idempotencyKey: String): AggregatedHttpResponse {
        val headers = RequestHeaders.builder(HttpMethod.POST, path)
            .contentType(MediaType.JSON)
            .add("authorization", "Bearer $key")
        if (idempotencyKey.isNotEmpty()) headers.add("idempotency-key", idempotencyKey)
        val request = HttpRequest.of(headers.build(), HttpData.ofUtf8(body))
        return client.execute(request).aggregate().join()
    }

    private fun report(what: String, seen: String, isGood: Boolean): Boolean {
        println("${if (isGood) "ok  " else "FAIL"} $url $what: $seen")
        return isGood
    }

    private companion object {
        const val OK = 200
        const val CREATED = 201
        const val BOOKING = """{"sleepers":40,"date":"2026-12-11"}"""
    }
}
