package mustarddale.cli

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import mustarddale.standin.EngineSetup

class ColdStartTest {
    @Test
    fun `all instances together send a cold engine at most one request at a time`() {
        val coldSetup = EngineSetup(
            TestStack.MEMORY_BYTES,
            preloaded = mapOf("m1" to 40L),
            tokenMillis = 5,
            coldMillis = 60_000
        )
        TestStack(instanceCount = 3) { coldSetup }.use { stack ->
            stack.start()
            val responses = (0 until 30).map {
                stack.send(it % 3, "/v1/chat/completions", stack.chatBody("c$it"))
            }.map { it.join() }
            val answered = responses.filter { it.status().code() == 200 }
            assertTrue(answered.isNotEmpty())
            (responses - answered.toSet()).forEach {
                assertEquals("backend_cold", it.kind)
                assertTrue(it.saysNotExecuted)
            }
            stack.engines.forEach { assertTrue(it.maxInFlightWhileCold.get() <= 1) }
        }
    }
}
