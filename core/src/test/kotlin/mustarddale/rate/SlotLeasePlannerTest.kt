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

    private data class Row(
        val name: String,
        val table: SlotTable,
        val seenAtMillis: Long,
        val nowMillis: Long,
        val live: Int,
        val expected: SlotAction?
    )

    private fun held(slots: List<Int>, by: WriterId, offset: Long) =
        slots.map { SlotEntry(it, by, offset) }

    private val rows = listOf(
        Row(
            "free slots are claimed up to a fair part",
            SlotTable(),
            0,
            0,
            2,
            SlotAction.Claim(listOf(SlotClaim(2, -1), SlotClaim(3, -1)))
        ),
        Row(
            "slots of another are left alone while its lease may last",
            SlotTable.of(held(listOf(0, 1, 2, 3), other, 5)),
            0,
            leaseMillis,
            1,
            null
        ),
        Row(
            "slots of another are claimed after lease and margin without a renewal",
            SlotTable.of(held(listOf(0, 1, 2, 3), other, 5)),
            0,
            SlotLease.takeoverDelayMillis(leaseMillis),
            4,
            SlotAction.Claim(listOf(SlotClaim(2, 5)))
        ),
        Row(
            "slots above the fair part are released",
            SlotTable.of(held(listOf(0, 1, 2, 3), own, 5)),
            0,
            10,
            2,
            SlotAction.Release(setOf(3, 2))
        ),
        Row(
            "held slots are renewed in time",
            SlotTable.of(held(listOf(0, 1, 2, 3), own, 5)),
            0,
            leaseMillis / 15,
            1,
            SlotAction.Renew
        )
    )

    @TestFactory
    fun `plans by what the log and its own clock say`(): List<DynamicTest> = rows.map { row ->
        DynamicTest.dynamicTest(row.name) {
            val lease = SlotLease().replaceSlots(row.table.heldBy(own), 0, leaseMillis)
            val keeper = SlotLeasePlanner(own, lease).observeRenewals(row.table, row.seenAtMillis)
            val situation = SlotPlanInput(row.table, limits, row.live, row.nowMillis)
            assertEquals(row.expected, keeper.nextAction(situation))
        }
    }
}
