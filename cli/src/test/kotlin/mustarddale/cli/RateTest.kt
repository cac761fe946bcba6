package mustarddale.cli

import com.linecorp.armeria.common.AggregatedHttpResponse
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import mustarddale.standin.LogFaults

class RateTest {
    @Test
    fun `three instances together stay within rate and burst, log up and down`() {
        TestStack(instanceCount = 3).use { stack ->
            stack.start()
            val startNanos = System.nanoTime()
            val logUp = calls(stack, "up")
            stack.fronts.forEach { it.faults = LogFaults(isDown = true) }
            val logDown = calls(stack, "down")
            val seconds = (System.nanoTime() - startNanos) / 1e9
            val answers = logUp + logDown
            val spent = answers.sumOf(::totalTokens)
            val allowed = BURST_TOKENS + seconds * TOKENS_PER_SECOND
            assertTrue(spent <= allowed, "$spent of $allowed tokens spent in $seconds s")
            listOf(logUp, logDown).forEach { part ->
                assertTrue(part.any { it.status().code() == 200 })
                val refused = part.filter { it.status().code() != 200 }
                assertTrue(refused.isNotEmpty())
                refused.forEach {
                    assertEquals("rate_exceeded", it.kind, it.contentUtf8())
                    assertTrue(it.saysNotRun && it.headers().contains("retry-after"))
                }
            }
        }
    }

    private fun calls(stack: TestStack, name: String): List<AggregatedHttpResponse> =
        (0 until ROUNDS).flatMap { round ->
            val calls = (0 until AT_ONCE).map {
                val body = stack.chatBody("$name $round $it")
                val path = "/v1/chat/completions"
                stack.send(it % 3, path, body, key = TestStack.SMALL_KEY)
            }
            CompletableFuture.allOf(*calls.toTypedArray()).join()
            calls.map { it.join() }
        }

    private fun totalTokens(answer: AggregatedHttpResponse): Int =
        Regex("\"total_tokens\":(\\d+)").find(answer.contentUtf8())?.groupValues?.get(1)?.toInt()
            ?: 0

    private companion object {
        const val ROUNDS = 12
        const val AT_ONCE = 24
        const val BURST_TOKENS = 2_000
        const val TOKENS_PER_SECOND = 1_000
    }
}
