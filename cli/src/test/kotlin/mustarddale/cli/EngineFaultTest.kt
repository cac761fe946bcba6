package mustarddale.cli

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import mustarddale.standin.EngineFaults
import mustarddale.standin.EngineSetup
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.TestInstance

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EngineFaultTest {
    private val stack = TestStack {
        EngineSetup(TestStack.MEMORY_BYTES, preloaded = mapOf("m1" to 40L), tokenMillis = 1)
    }

    @BeforeAll
    fun start() {
        stack.start()
    }

    @AfterAll
    fun stop() = stack.close()

    private val cases = listOf(
        "disconnect before the first token" to EngineFaults(cutAfterTokens = 0),
        "disconnect after three tokens" to EngineFaults(cutAfterTokens = 3),
        "no more output after three tokens" to EngineFaults(silentAfterTokens = 3),
        "every frame twice" to EngineFaults(repeatsFrames = true),
        "every frame twice, then disconnect" to
            EngineFaults(cutAfterTokens = 4, repeatsFrames = true)
    )

    private fun textOf(stream: String): String = Regex("\"content\":\"([^\"]*)\"").findAll(stream)
        .joinToString("") { it.groupValues[1] }

    private fun streamChat(prompt: String): String =
        stack.send(0, "/v1/chat/completions", stack.chatBody(prompt, isStreamed = true))
            .join()
            .contentUtf8()

    @TestFactory
    fun `callers get the whole response once`(): List<DynamicTest> = cases.map { (name, faults) ->
        DynamicTest.dynamicTest(name) {
            stack.engines.forEach { it.faults = EngineFaults() }
            val expected = textOf(streamChat("p"))
            stack.engines.forEach { it.faults = faults }
            val stream = streamChat("p")
            stack.engines.forEach { it.faults = EngineFaults() }
            assertEquals(expected, textOf(stream))
            assertTrue(stream.trimEnd().endsWith("data: [DONE]"))
        }
    }

    @Test
    fun `a request that may have been executed is not reported as not executed`() {
        val faults = EngineFaults(cutAfterTokens = 0, forgetsStreams = true)
        stack.engines.forEach { it.faults = faults }
        val response = stack.chat(0, "may have run")
        stack.engines.forEach { it.faults = EngineFaults() }
        assertTrue(
            stack.engines.any { engine ->
                engine.callLog.calls.any { "may have" in it.body }
            }
        )
        assertEquals("backend_failed", response.kind)
        assertFalse(response.saysNotExecuted)
    }
}
