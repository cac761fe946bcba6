package mustarddale.instance.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Plays fleets before servers of several software versions, by random seeds. */
class StreamFleetTest {
    private data class Case(
        val name: String,
        val instances: Int,
        val lostInstances: Int,
        val killsLeader: Boolean,
        val reportDelayMillis: Int,
        val releaseMillis: Long = 0
    )

    private val cases = listOf(9, 61).flatMap { instances ->
        listOf(
            Case("one instance at a time", instances, 1, false, 10),
            Case("the leader each time", instances, 1, true, 10),
            Case("a third, not the leader", instances, instances / 3, false, 10),
            Case("a third with the leader", instances, instances / 3, true, 10),
            Case("late reports", instances, instances / 3, false, 400),
            Case("a third as a release begins", instances, instances / 3, false, 10, 55_000),
            Case("a third with the leader then", instances, instances / 3, true, 10, 55_000)
        )
    }

    @Test
    fun `streams that clients take up elsewhere go on, and only at their version`() {
        cases.forEach { case ->
            repeat(SEED_COUNT) { seed ->
                val fleet = StreamFleet(
                    case.instances,
                    case.lostInstances,
                    case.killsLeader,
                    case.reportDelayMillis,
                    case.releaseMillis,
                    seed.toLong()
                )
                fleet.run(RUN_MILLIS)
                val where = "${case.instances} instances, ${case.name}, seed $seed"
                assertEquals(0, fleet.mixed, where)
                assertTrue(
                    fleet.wentOn >= fleet.takenUp * MIN_SHARE,
                    "$where: ${fleet.wentOn} of ${fleet.takenUp} streams went on"
                )
            }
        }
    }

    private companion object {
        /** Ends between two kills, so that streams that are taken up have time to go on. */
        const val RUN_MILLIS = 59_500L

        /** Of the platform's rules; all new streams begin here. */
        const val MIN_SHARE = 0.5

        /** `-Dstream.seeds=` plays more. */
        val SEED_COUNT = Integer.getInteger("stream.seeds", 4)
    }
}
