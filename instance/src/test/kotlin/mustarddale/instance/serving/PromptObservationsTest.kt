package mustarddale.instance.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import mustarddale.instance.serving.state.PromptAnswers
import mustarddale.instance.serving.state.PromptObservations
import mustarddale.serving.prompt.CrashSuspect
import mustarddale.time.Clock

class PromptObservationsTest {
    private class TestClock : Clock {
        var nowMillis = 0L

        override fun monotonicMillis(): Long = nowMillis

        override fun wallMillis(): Long = nowMillis
    }

    private val clock = TestClock()
    private val observations = PromptObservations(clock)

    @Test
    fun `a new leader gets the lost requests of the last seconds again`() {
        val suspects = listOf("e1", "e2").map { CrashSuspect(it, "r", listOf("a")) }
        observations.recordSuspect(suspects[0])
        assertEquals(listOf(suspects[0]), observations.takeSuspects())
        clock.nowMillis = 29_000
        observations.recordSuspect(suspects[1])
        assertEquals(listOf(suspects[1]), observations.takeSuspects())
        observations.forgetReports()
        assertEquals(suspects, observations.takeSuspects())
        clock.nowMillis = 31_000
        observations.forgetReports()
        assertEquals(listOf(suspects[1]), observations.takeSuspects())
    }

    @Test
    fun `answers are reported once`() {
        observations.recordAnswer(listOf("a", "b"))
        observations.recordAnswer(listOf("a"))
        assertEquals(PromptAnswers(2, setOf("a", "b")), observations.takeAnswers())
        assertEquals(PromptAnswers(0, emptySet()), observations.takeAnswers())
    }

    @Test
    fun `a part is suspicious after two lost servers until it is answered`() {
        observations.recordSuspect(CrashSuspect("e1", "r1", listOf("a")))
        assertEquals(false, observations.areSuspicious(listOf("a")))
        observations.recordSuspect(CrashSuspect("e2", "r2", listOf("a")))
        assertEquals(true, observations.areSuspicious(listOf("a")))
        observations.recordAnswer(listOf("a"))
        assertEquals(false, observations.areSuspicious(listOf("a")))
        assertEquals(true, observations.areSuspicious(listOf("a", "b")))
        assertEquals(false, observations.areSuspicious(emptyList()))
    }
}
