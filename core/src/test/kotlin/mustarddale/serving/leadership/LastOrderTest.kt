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
    fun `how long a new leader waits before it gives orders`() {
        val byOther = LastOrder("b", sinceMillis = 1_000)
        listOf(
            Case("there was none before", null, 0),
            Case("one crashed and may have ordered until then", record("b", false, null), 3_000),
            Case("one has been silent for a while", record("b", false, null), 2_000, 1_000),
            Case("one resigned a second after its order", record("b", true, byOther), 2_000),
            Case("one resigned without any order", record("b", true, null), 0),
            Case(
                "one resigned within the wait after another's order",
                record("c", true, byOther),
                2_000
            ),
            Case("its own earlier process ordered", record("a", false, LastOrder("a", 0)), 0),
            Case(
                "its own earlier process was still waiting",
                record("a", false, byOther),
                2_000
            ),
            Case("the last order is long ago", record("b", true, LastOrder("b", 9_000)), 0)
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
