package mustarddale.time

import kotlin.test.Test
import kotlin.test.assertEquals

class MinIntervalTest {
    @Test
    fun `the milliseconds until the next run`() {
        data class Case(val runsAtMillis: List<Long>, val nowMillis: Long, val expected: Long)

        listOf(
            Case(emptyList(), 0, 0),
            Case(listOf(1_000), 1_000, 50),
            Case(listOf(1_000), 1_049, 1),
            Case(listOf(1_000), 1_050, 0),
            Case(listOf(1_000, 1_060), 1_061, 49)
        ).forEach { case ->
            val interval = MinInterval(50)
            case.runsAtMillis.forEach { interval.recordRun(it) }
            assertEquals(case.expected, interval.waitMillis(case.nowMillis), "$case")
        }
    }
}
