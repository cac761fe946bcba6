package mustarddale.cli

import com.linecorp.armeria.common.AggregatedHttpResponse
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import mustarddale.standin.LogFaults

class RateLimitTest {
    @Test
    fun `three instances together keep to the rate and the burst, with the log up and down`() {
        TestStack(instanceCount = 3).use { stack ->
            stack.start()
            val startNanos = System.nanoTime()
            val responsesLogUp = sendRounds(stack, "up")
            stack.logStandIns.forEach { it.faults = LogFaults(isDown = true) }
            val responsesLogDown = sendRounds(stack, "down")
            val seconds = (System.nanoTime() - startNanos) / 1e9
            val responses = responsesLogUp + responsesLogDown
            val spent = responses.sumOf(::totalTokens)
            val allowed = BURST_TOKENS + seconds * TOKENS_PER_SECOND
            assertTrue(spent <= allowed, "$spent of $allowed tokens spent in $seconds s")
            listOf(responsesLogUp, responsesLogDown).forEach { batch ->
                assertTrue(batch.any { it.status().code() == 200 })
                val refused = batch.filter { it.status().code() != 200 }
                assertTrue(refused.isNotEmpty())
                refused.forEach {
                    assertEquals("rate_exceeded", it.kind, it.contentUtf8())
                    assertTrue(it.saysNotExecuted && it.headers().contains("retry-after"))
                }
            }
        }
    }

    private fun sendRounds(stack: TestStack, name: String): List<AggregatedHttpResponse> =
        (0 until ROUND_COUNT).flatMap { round ->
            val calls = (0 until REQUESTS_PER_ROUND).map {
                val body = stack.chatBody("$name $round $it")
                val path = "/v1/chat/completions"
                stack.send(it % 3, path, body, key = TestStack.LIMITED_KEY)
            }
            CompletableFuture.allOf(*calls.toTypedArray()).join()
            calls.map { it.join() }
        }

    private fun totalTokens(response: AggregatedHttpResponse): Int =
        Regex("\"total_tokens\":(\\d+)").find(response.contentUtf8())?.groupValues?.get(1)?.toInt()
            ?: 0

    private companion object {
        const val ROUND_COUNT = 12
        const val REQUESTS_PER_ROUND = 24
        const val BURST_TOKENS = 2_000
        const val TOKENS_PER_SECOND = 1_000
    }
}
