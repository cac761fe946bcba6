package mustarddale.serving.leadership

import kotlin.test.Test
import kotlin.test.assertEquals

class LastOrderTest {
    private data class Case(
        val name: String,
        val predecessor: LeaderRecord?,
        val expectedWaitMillis: Long,
        val minOrderAgeMillis: Long = 0
    )

    private fun record(instance: String, isResigning: Boolean, lastOrder: LastOrder?) =
        LeaderRecord(instance, "run", "host", 1, 0, isResigning, lastOrder)

    @Test
    fun `the time that a new leader waits before it gives orders`() {
        val byOther = LastOrder("b", sinceMillis = 1_000)
        listOf(
            Case("no leader before", null, 0),
            Case("a crash just after an order", record("b", false, null), 3_000),
            Case("a crash a second after an order", record("b", false, null), 2_000, 1_000),
            Case("a resignation a second after an order", record("b", true, byOther), 2_000),
            Case("a resignation without any order", record("b", true, null), 0),
            Case(
                "a resignation during the wait after an order of another instance",
                record("c", true, byOther),
                2_000
            ),
            Case("an order by its own earlier process", record("a", false, LastOrder("a", 0)), 0),
            Case(
                "its own earlier process ended during the wait after an order",
                record("a", false, byOther),
                2_000
            ),
            Case("an order older than the wait", record("b", true, LastOrder("b", 9_000)), 0)
        ).forEach { case ->
            val order = LastOrder.beforeTakeover(case.predecessor, "a", case.minOrderAgeMillis)
            assertEquals(
                case.expectedWaitMillis,
                LastOrder.waitMillis(order, "a", 3_000),
                case.name
            )
        }
    }
}
