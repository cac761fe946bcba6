package mustarddale.serving.backend

import java.util.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ColdStartLimiterTest {
    @Test
    fun `the milliseconds until the next permit`() {
        data class Case(
            val name: String,
            val requestsAtMillis: List<Long>,
            val requestsPerSecond: Double,
            val expected: List<Long>
        )

        val cases = listOf(
            Case("none in the first window of a leader", listOf(0, 1_249), 2.0, listOf(1_250, 1)),
            Case(
                "as many as the server can handle, the next one window after the first",
                listOf(2_000, 2_100, 2_200, 3_249, 3_250),
                2.0,
                listOf(0, 0, 1_050, 1, 0)
            ),
            Case("none for a rate of zero", listOf(2_000, 2_100), 0.0, listOf(1_250, 1_250)),
            Case("one for a rate below one", listOf(2_000, 2_100), 0.5, listOf(0, 1_150))
        )
        cases.forEach { case ->
            val limiter = ColdStartLimiter(startMillis = 0)
            val waits =
                case.requestsAtMillis.map { limiter.request("x", case.requestsPerSecond, it) }
            assertEquals(case.expected, waits, case.name)
        }
    }

    @Test
    fun `permits used until they expire never exceed the rate within a second`() {
        val random = Random(20261204)
        repeat(RUN_COUNT) {
            val limiter = ColdStartLimiter(startMillis = 0)
            val requestsPerSecond = 1 + random.nextInt(40)
            val sentMillis = ArrayList<Long>()
            var nowMillis = 0L
            repeat(REQUEST_COUNT) {
                nowMillis += random.nextLong(20)
                if (limiter.request("x", requestsPerSecond.toDouble(), nowMillis) == 0L) {
                    sentMillis += nowMillis + random.nextLong(
                        ColdStartLimiter.PERMIT_LIFETIME_MILLIS
                    )
                }
            }
            sentMillis.sort()
            val highest = sentMillis.maxOf { start ->
                sentMillis.count { it >= start && it < start + 1_000 }
            }
            assertTrue(highest <= requestsPerSecond, "$highest of $requestsPerSecond")
        }
    }

    private companion object {
        const val RUN_COUNT = 200
        const val REQUEST_COUNT = 500
    }
}
