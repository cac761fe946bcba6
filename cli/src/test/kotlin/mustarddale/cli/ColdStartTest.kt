package mustarddale.cli

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import mustarddale.standin.EngineSetup

class ColdStartTest {
    @Test
    fun `the fleet sends a cold engine no more than it can bear`() {
        val cold = EngineSetup(
            TestStack.MEMORY,
            preloaded = mapOf("m1" to 40L),
            tokenMillis = 5,
            coldMillis = 60_000
        )
        TestStack(instanceCount = 3) { cold }.use { stack ->
            stack.start()
            val calls = (0 until 30).map {
                stack.send(it % 3, "/v1/chat/completions", stack.chatBody("c$it"))
            }.map { it.join() }
            val answered = calls.filter { it.status().code() == 200 }
            assertTrue(answered.isNotEmpty())
            (calls - answered.toSet()).forEach {
                assertEquals("backend_cold", it.kind)
                assertTrue(it.saysNotRun)
            }
            stack.engines.forEach { assertTrue(it.maxInFlightWhileCold.get() <= 1) }
        }
    }
}
