package mustarddale.serving.shutdown

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ShutdownScheduleTest {
    private data class Case(
        val graceMillis: Long,
        val admissionMillis: Long,
        val finalResponsesMillis: Long
    )

    /** Guards against requests that are admitted when the process is about to be killed. */
    @Test
    fun `requests are admitted in the first half of the grace at most`() {
        val cases = listOf(
            Case(graceMillis = 30_000, admissionMillis = 2_800, finalResponsesMillis = 29_300),
            Case(graceMillis = 8_000, admissionMillis = 2_800, finalResponsesMillis = 7_300),
            Case(graceMillis = 3_000, admissionMillis = 1_150, finalResponsesMillis = 2_300),
            Case(graceMillis = 1_000, admissionMillis = 375, finalResponsesMillis = 750),
            Case(graceMillis = 0, admissionMillis = 0, finalResponsesMillis = 0)
        )
        cases.forEach {
            val schedule = ShutdownSchedule(START_MILLIS, it.graceMillis)
            val admissionEndMillis = START_MILLIS + it.admissionMillis
            assertEquals(admissionEndMillis, schedule.admissionEndMillis, "$it")
            assertEquals(
                START_MILLIS + it.finalResponsesMillis,
                schedule.finalResponsesAtMillis,
                "$it"
            )
            assertTrue(schedule.mayAdmit(admissionEndMillis - 1), "$it")
            assertFalse(schedule.mayAdmit(admissionEndMillis), "$it")
        }
    }

    private companion object {
        const val START_MILLIS = 5_000L
    }
}
