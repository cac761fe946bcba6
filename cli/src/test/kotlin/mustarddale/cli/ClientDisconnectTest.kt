package mustarddale.cli

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import mustarddale.standin.EngineSetup
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.TestInstance

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ClientDisconnectTest {
    private val stack = TestStack(instanceCount = 1) {
        EngineSetup(TestStack.MEMORY_BYTES, preloaded = mapOf("m1" to 40L), tokenMillis = 300)
    }

    @BeforeAll
    fun start() {
        stack.start()
    }

    @AfterAll
    fun stop() = stack.close()

    @TestFactory
    fun `a caller that disconnects cancels its request at the engine`(): List<DynamicTest> =
        listOf(true, false).map { isStreamed ->
            DynamicTest.dynamicTest("streamed: $isStreamed") {
                val prompt = "gone $isStreamed"
                val previous = cancelled()
                val headers = RequestHeaders.builder(HttpMethod.POST, "/v1/chat/completions")
                    .contentType(MediaType.JSON)
                    .add("authorization", "Bearer ${TestStack.KEY}")
                    .build()
                val body = stack.chatBody(prompt, isStreamed = isStreamed)
                val request = HttpRequest.of(headers, HttpData.ofUtf8(body))
                val response = WebClient.of(stack.url(0)).execute(request)
                TestStack.awaitCondition("the engine has received the request") {
                    stack.engines.flatMap { it.callLog.calls }.any { prompt in it.body }
                }
                response.abort()
                TestStack.awaitCondition("the request is cancelled") { cancelled() == previous + 1 }
            }
        }

    private fun cancelled(): Int = stack.engines.sumOf { it.cancelledRequestIds.size }
}
