package mustarddale.serving.limit

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Simulates instances before servers that set limits, and checks what the servers get. */
class LimitSimulationTest {
    private data class Case(
        val name: String,
        val minUsed: Double,
        val instances: Int = 9,
        val demandFactor: Double = 2.0,
        val quietMillis: LongRange = LongRange.EMPTY,
        val maxResponseMillis: Long = 400,
        val limits: List<Pair<Long, Double?>> = listOf(1_000L to 4.3),
        val faults: List<Fault> = emptyList()
    )

    private val lostLeader = Fault.NoLeader(fromMillis = 5_000, untilMillis = Long.MAX_VALUE)
    private val replacements =
        listOf(6_000L, 12_000L, 18_000L, 24_000L).map { Fault.NoLeader(it, it + 2_500) }
    private val movingLimit =
        listOf(1_000L to 4.3, 8_000L to 9.0, 15_000L to 2.0, 21_000L to 0.5, 25_000L to 12.0)
    private val endingLimit =
        listOf(1_000L to 5.0, 9_000L to null, 14_000L to 3.0, 20_000L to null, 25_000L to 6.5)

    private val cases = listOf(
        Case("9 instances", minUsed = 0.8),
        Case("61 instances", minUsed = 0.8, instances = 61),
        Case("a high limit", minUsed = 0.8, instances = 61, limits = listOf(1_000L to 40.0)),
        Case("a limit below one", minUsed = 0.8, instances = 61, limits = listOf(1_000L to 0.5)),
        Case(
            "a server that accepts nothing at first",
            minUsed = 0.8,
            limits = listOf(1_000L to 0.0, 12_000L to 6.0)
        ),
        Case("demand of a burst", minUsed = 0.8, instances = 61, demandFactor = 20.0),
        Case("moving limits, 9 instances", minUsed = 0.8, limits = movingLimit),
        Case("moving limits, 61 instances", minUsed = 0.8, instances = 61, limits = movingLimit),
        Case("ending limits, 9 instances", minUsed = 0.8, limits = endingLimit),
        Case("ending limits, 61 instances", minUsed = 0.8, instances = 61, limits = endingLimit),
        Case(
            "late responses, 9 instances",
            minUsed = 0.8,
            maxResponseMillis = 1_500,
            limits = listOf(1_000L to 5.0, 9_000L to null, 11_000L to 3.0, 20_000L to 5.0)
        ),
        Case(
            "late responses, 61 instances",
            minUsed = 0.8,
            instances = 61,
            maxResponseMillis = 1_500,
            limits = listOf(1_000L to 5.0, 9_000L to null, 11_000L to 3.0, 20_000L to 5.0)
        ),
        Case("no leader, 9 instances", minUsed = 0.8, faults = listOf(lostLeader)),
        Case("no leader, 61 instances", minUsed = 0.5, instances = 61, faults = listOf(lostLeader)),
        Case(
            "no leader in a burst, 61 instances",
            minUsed = 0.8,
            instances = 61,
            demandFactor = 20.0,
            faults = listOf(lostLeader)
        ),
        Case(
            "no leader in a burst after a quiet time, 61 instances",
            minUsed = 0.5,
            instances = 61,
            demandFactor = 20.0,
            quietMillis = 4_500L..14_000L,
            faults = listOf(lostLeader)
        ),
        Case("leaders replaced, 9 instances", minUsed = 0.5, faults = replacements),
        Case("leaders replaced, 61 instances", 0.5, instances = 61, faults = replacements),
        Case(
            "paused instances, 9 instances",
            minUsed = 0.5,
            faults = listOf(Fault.Paused(0, 5_000, 8_000), Fault.Paused(3, 9_000, 13_000))
        ),
        Case(
            "instances cut off from the leader, 61 instances",
            minUsed = 0.5,
            instances = 61,
            faults = List(12) { Fault.CutOff(it, 5_000L + 300 * it, 12_000L + 500 * it) }
        )
    )

    @Test
    fun `servers get no more than their limits bear and most of what they allow`() {
        cases.forEach { case ->
            repeat(SEED_COUNT) { seed ->
                val fleet = LimitedFleet(
                    seed.toLong(),
                    case.instances,
                    case.demandFactor,
                    case.quietMillis,
                    case.maxResponseMillis,
                    case.limits,
                    case.faults
                )
                fleet.run(RUN_MILLIS)
                fleet.servers.forEach { server ->
                    val where = "${case.name}, seed $seed, ${server.name}"
                    assertEquals(emptyList(), server.excesses(RUN_MILLIS), where)
                    val used = server.usedFraction(RUN_MILLIS)
                    assertTrue(used >= case.minUsed, "$where: $used of the limit was used")
                }
            }
        }
    }

    private companion object {
        const val RUN_MILLIS = 30_000L

        /** `-Dlimit.seeds=` plays more. */
        val SEED_COUNT = Integer.getInteger("limit.seeds", 4)
    }
}
