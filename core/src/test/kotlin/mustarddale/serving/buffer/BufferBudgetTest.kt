package mustarddale.serving.buffer

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class BufferBudgetTest {
    /** Guards against large buffers that leave no memory for ordinary requests. */
    @Test
    fun `large buffers leave a quarter of the budget to small ones`() {
        data class Case(val heldBytes: Long, val newBytes: Long, val isGranted: Boolean)

        val cases = listOf(
            Case(heldBytes = 0, newBytes = 3 * MIB, isGranted = true),
            Case(heldBytes = 0, newBytes = 3 * MIB + 1, isGranted = false),
            Case(heldBytes = 2 * MIB, newBytes = MIB, isGranted = true),
            Case(heldBytes = 2 * MIB, newBytes = MIB + 1, isGranted = false),
            Case(heldBytes = 3 * MIB, newBytes = 64 * KIB, isGranted = true),
            Case(heldBytes = 3 * MIB, newBytes = 64 * KIB + 1, isGranted = false)
        )
        cases.forEach { case ->
            val budget = BufferBudget(CAPACITY_BYTES)
            assertTrue(budget.reserve().tryResize(case.heldBytes))
            val reservation = budget.reserve()
            assertEquals(case.isGranted, reservation.tryResize(case.newBytes), "$case")
            val heldBytes = case.heldBytes + if (case.isGranted) case.newBytes else 0
            assertEquals(heldBytes, budget.heldBytes, "$case")
            assertEquals(if (case.isGranted) 0 else 1, budget.refusedCount, "$case")
        }
    }

    @Test
    fun `a reservation shrinks although the budget is used up`() {
        val budget = BufferBudget(CAPACITY_BYTES)
        val large = budget.reserve()
        assertTrue(large.tryResize(3 * MIB))
        repeat(16) { assertTrue(budget.reserve().tryResize(64 * KIB)) }
        assertFalse(budget.reserve().tryResize(1))
        assertTrue(large.tryResize(2 * MIB))
        large.release()
        assertEquals(MIB, budget.heldBytes)
    }

    @Test
    fun `the bytes held are those of all reservations and never above the capacity`() {
        val random = Random(SEED)
        val budget = BufferBudget(CAPACITY_BYTES)
        val reservations = List(50) { budget.reserve() }
        repeat(20_000) {
            val reservation = reservations[random.nextInt(reservations.size)]
            when (random.nextInt(4)) {
                0 -> reservation.release()
                1 -> reservation.tryResize(random.nextLong(4 * MIB))
                else -> reservation.tryResize(random.nextLong(64 * KIB))
            }
            assertEquals(reservations.sumOf { it.bytes }, budget.heldBytes)
            assertTrue(budget.heldBytes in 0..CAPACITY_BYTES)
        }
    }

    private companion object {
        const val SEED = 20261205
        const val KIB = 1_024L
        const val MIB = 1_024L * KIB
        const val CAPACITY_BYTES = 4 * MIB
    }
}
