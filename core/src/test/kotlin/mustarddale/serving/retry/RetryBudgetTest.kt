package mustarddale.serving.retry

import kotlin.test.Test
import kotlin.test.assertEquals

class RetryBudgetTest {
    private data class Case(
        val name: String,
        val requests: Int,
        val instances: Int?,
        val atMillis: Long,
        val expected: Int
    )

    @Test
    fun `the number of retries that one instance allows`() {
        val cases = listOf(
            Case("its share of the allowance, less the margin", 0, 8, 0, 5),
            Case("its share and a fifth of its requests, less the margin", 100, 8, 0, 21),
            Case("nothing for requests before the window", 100, 8, 10_001, 5),
            Case("none if the allowance is shared by many instances", 0, 80, 0, 0),
            Case("only a fifth of its requests while their number is unknown", 100, null, 0, 16)
        )
        cases.forEach { case ->
            val budget = RetryBudget(RetryLimits(10_000, 0.2, 56.0))
            repeat(case.requests) { budget.recordRequest(0) }
            var allowed = 0
            while (budget.tryAcquire(case.instances, case.atMillis)) allowed++
            assertEquals(case.expected, allowed, case.name)
        }
    }
}
