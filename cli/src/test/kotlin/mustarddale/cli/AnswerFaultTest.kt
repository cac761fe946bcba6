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
class AnswerFaultTest {
    private val stack = TestStack {
        EngineSetup(TestStack.MEMORY, preloaded = mapOf("m1" to 40L), tokenMillis = 1)
    }

    @BeforeAll
    fun start() {
        stack.start()
    }

    @AfterAll
    fun stop() = stack.close()

    private val rows = listOf(
        "cut before the first token" to EngineFaults(cutAfterTokens = 0),
        "cut mid-way" to EngineFaults(cutAfterTokens = 3),
        "silent for good mid-way" to EngineFaults(silentAfterTokens = 3),
        "every frame twice" to EngineFaults(repeatsFrames = true),
        "every frame twice, then cut" to EngineFaults(cutAfterTokens = 4, repeatsFrames = true)
    )

    private fun textOf(stream: String): String = Regex("\"content\":\"([^\"]*)\"").findAll(stream)
        .joinToString("") { it.groupValues[1] }

    private fun streamed(prompt: String): String =
        stack.send(0, "/v1/chat/completions", stack.chatBody(prompt, isStreamed = true))
            .join()
            .contentUtf8()

    @TestFactory
    fun `a caller gets the whole answer once`(): List<DynamicTest> = rows.map { (name, faults) ->
        DynamicTest.dynamicTest(name) {
            stack.engines.forEach { it.faults = EngineFaults() }
            val expected = textOf(streamed("p"))
            stack.engines.forEach { it.faults = faults }
            val stream = streamed("p")
            stack.engines.forEach { it.faults = EngineFaults() }
            assertEquals(expected, textOf(stream))
            assertTrue(stream.trimEnd().endsWith("data: [DONE]"))
        }
    }

    @Test
    fun `a request that may have run is not called not run`() {
        val faults = EngineFaults(cutAfterTokens = 0, forgetsStreams = true)
        stack.engines.forEach { it.faults = faults }
        val answer = stack.chat(0, "may have run")
        stack.engines.forEach { it.faults = EngineFaults() }
        assertTrue(
            stack.engines.any { engine ->
                engine.callLog.calls.any { "may have" in it.body }
            }
        )
        assertEquals("backend_failed", answer.kind)
        assertFalse(answer.saysNotRun)
    }
}
