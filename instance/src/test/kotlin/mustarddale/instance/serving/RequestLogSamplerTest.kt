package mustarddale.instance.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RequestLogSamplerTest {
    private val requests = List(1_000) { "request-$it" }

    private fun RequestLogSampler.written(
        second: Long,
        count: Int,
        isSuccess: Boolean
    ): Set<String> =
        requests.take(count).filter { shouldWrite(it, isSuccess, second * 1_000) }.toSet()

    @Test
    fun `successes are sampled from the next second on, failures are limited to a rate`() {
        data class Case(
            val count: Int,
            val isSuccess: Boolean,
            val first: Int,
            val laterAtMost: Int
        )
        listOf(
            Case(count = 80, isSuccess = true, first = 80, laterAtMost = 80),
            Case(count = 400, isSuccess = true, first = 400, laterAtMost = 130),
            Case(count = 1_000, isSuccess = true, first = 1_000, laterAtMost = 130),
            Case(count = 80, isSuccess = false, first = 80, laterAtMost = 80),
            Case(count = 1_000, isSuccess = false, first = 150, laterAtMost = 150)
        ).forEach { case ->
            val sampler = RequestLogSampler()
            assertEquals(case.first, sampler.written(1, case.count, case.isSuccess).size, "$case")
            val later = sampler.written(2, case.count, case.isSuccess).size
            assertTrue(later in 1..case.laterAtMost, "$case: $later")
        }
    }

    @Test
    fun `all instances sample the same requests, and a subset of them under more load`() {
        val sampler = RequestLogSampler().also { it.written(1, 400, isSuccess = true) }
        val otherSampler = RequestLogSampler().also { it.written(1, 400, isSuccess = true) }
        val loadedSampler = RequestLogSampler().also { it.written(1, 1_000, isSuccess = true) }
        val sampled = sampler.written(2, 400, isSuccess = true)
        assertEquals(sampled, otherSampler.written(2, 400, isSuccess = true))
        assertTrue(loadedSampler.written(2, 400, isSuccess = true).all { it in sampled })
    }

    @Test
    fun `skipped lines are reported once in the next second`() {
        val sampler = RequestLogSampler()
        sampler.written(1, 200, isSuccess = false)
        assertEquals(50, sampler.takeSkippedLines(1_000))
        sampler.written(1, 10, isSuccess = false)
        assertEquals(0, sampler.takeSkippedLines(1_500))
        sampler.shouldWrite("x", isSuccess = false, nowMillis = 2_100)
        assertEquals(10, sampler.takeSkippedLines(2_100))
        assertEquals(0, sampler.takeSkippedLines(2_100))
    }
}
