package mustarddale.rate

import kotlin.test.assertEquals
import mustarddale.config.Limits
import mustarddale.control.Fixtures
import mustarddale.control.WriterId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class SlotLeasePlannerTest {
    private val leaseMillis = 60_000L
    private val limits = Limits(rateSlots = 4, slotLeaseMillis = leaseMillis)
    private val own = Fixtures.firstWriter
    private val other = Fixtures.secondWriter

    private data class Case(
        val name: String,
        val table: SlotTable,
        val observedAtMillis: Long,
        val nowMillis: Long,
        val liveInstances: Int,
        val expected: SlotAction?
    )

    private fun held(slots: List<Int>, by: WriterId, offset: Long) =
        slots.map { SlotEntry(it, by, offset) }

    private val cases = listOf(
        Case(
            "free slots are claimed up to an equal share",
            SlotTable(),
            0,
            0,
            2,
            SlotAction.Claim(listOf(SlotClaim(2, -1), SlotClaim(3, -1)))
        ),
        Case(
            "slots of another instance are not claimed while its lease may be valid",
            SlotTable.of(held(listOf(0, 1, 2, 3), other, 5)),
            0,
            leaseMillis,
            1,
            null
        ),
        Case(
            "slots of another instance are claimed after lease and margin without a renewal",
            SlotTable.of(held(listOf(0, 1, 2, 3), other, 5)),
            0,
            SlotLease.takeoverDelayMillis(leaseMillis),
            4,
            SlotAction.Claim(listOf(SlotClaim(2, 5)))
        ),
        Case(
            "slots beyond the equal share are released",
            SlotTable.of(held(listOf(0, 1, 2, 3), own, 5)),
            0,
            10,
            2,
            SlotAction.Release(setOf(3, 2))
        ),
        Case(
            "held slots are renewed when the interval has passed",
            SlotTable.of(held(listOf(0, 1, 2, 3), own, 5)),
            0,
            leaseMillis / 15,
            1,
            SlotAction.Renew
        )
    )

    @TestFactory
    fun `chooses the next action by slot table and clock`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val lease = SlotLease().replaceSlots(case.table.heldBy(own), 0, leaseMillis)
            val planner =
                SlotLeasePlanner(own, lease).observeRenewals(case.table, case.observedAtMillis)
            val input = SlotPlanInput(case.table, limits, case.liveInstances, case.nowMillis)
            assertEquals(case.expected, planner.nextAction(input))
        }
    }
}
