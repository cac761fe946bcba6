package mustarddale.serving.leadership

import java.util.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange

class LeaderElectionTest {
    private val times =
        ElectionTimings(
            2_000,
            renewalIntervalMillis = 500,
            orderWindowMillis = 1_000,
            maxClockDriftMillis = 100
        )

    /** The leadership log: appends may be lost, or may land late. */
    private class Log {
        val records = ArrayList<LeaderLogEntry>()

        fun append(at: Long, record: LeaderRecord): Boolean {
            if (at != records.size.toLong()) return false
            records.add(LeaderLogEntry(at, record))
            return true
        }
    }

    private inner class Node(val name: String, var run: Int = 0) {
        var election = newElection()
        var awakeAtMillis = 0L
        private var mayOrderAtMillis = 0L
        private var orderBefore: LastOrder? = null
        private var wonAtMillis = 0L
        private var orderedAtMillis: Long? = null

        private fun newElection() = LeaderElection(name, "$name-$run", times)

        fun restart() {
            run++
            election = newElection()
            orderedAtMillis = null
        }

        /** Gives an order if it may. */
        fun orders(nowMillis: Long): Boolean {
            val mayOrder = nowMillis >= mayOrderAtMillis && election.mayOrder(nowMillis)
            if (mayOrder) orderedAtMillis = nowMillis
            return mayOrder
        }

        /** Waits after the orders of whoever led before. */
        private fun waitFor(predecessor: LeaderRecord?, sinceMillis: Long, nowMillis: Long) {
            orderBefore = LastOrder.beforeTakeover(predecessor, name, sinceMillis)
            wonAtMillis = nowMillis
            orderedAtMillis = null
            val waitMillis = LastOrder.waitMillis(orderBefore, name, ORDER_LEASE_MILLIS)
            mayOrderAtMillis = nowMillis + waitMillis
        }

        private fun record(term: Long, nowMillis: Long): LeaderRecord {
            val lastOrder = when {
                term == LeaderRecord.UNKNOWN_TERM ->
                    LastOrder.beforeTakeover(election.newest?.record, name)

                else -> orderedAtMillis?.let { LastOrder(name, nowMillis - it) }
                    ?: orderBefore?.agedBy(nowMillis - wonAtMillis)
            }
            return LeaderRecord(name, "$name-$run", "host", 1, term, lastOrder = lastOrder)
        }

        /** One step; returns an append that is still on its way. */
        fun step(log: Log, nowMillis: Long, random: Random): (() -> Unit)? {
            when (val step = election.next(nowMillis)) {
                is ElectionStep.Wait -> Unit

                is ElectionStep.Read -> election.observe(
                    log.records.drop(step.offset.toInt()),
                    log.records.size.toLong(),
                    nowMillis
                )

                is ElectionStep.Append -> return append(step, log, nowMillis, random)
            }
            return null
        }

        private fun append(
            step: ElectionStep.Append,
            log: Log,
            nowMillis: Long,
            random: Random
        ): (() -> Unit)? {
            val record = record(step.term, nowMillis)
            val predecessor = election.newest?.record
            val sinceMillis = election.minOrderAgeMillis(nowMillis)
            election.appendStarted(record, nowMillis)
            val fate = random.nextInt(10)
            if (fate <= 1 || !log.append(step.offset, record)) {
                election.appendFailed()
                return if (fate == 1) ({ log.append(step.offset, record) }) else null
            }
            election.appendSucceeded(record, step.offset, nowMillis)
            if (step.term == LeaderRecord.UNKNOWN_TERM) waitFor(predecessor, sinceMillis, nowMillis)
            return null
        }
    }

    @Property(seed = "20261204", tries = 300)
    fun `two instances never lead at once, and somebody leads in the end`(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long
    ) {
        val random = Random(seed)
        val log = Log()
        val nodes = List(4) { Node("node-$it") }
        val late = ArrayList<Pair<Long, () -> Unit>>()
        val orders = HashMap<String, Long>()
        for (nowMillis in 0L..40_000L step 50) {
            late.filter { it.first <= nowMillis }.forEach { it.second() }
            late.removeIf { it.first <= nowMillis }
            val isCalm = nowMillis > 30_000
            nodes.forEach { node ->
                if (!isCalm && random.nextInt(400) == 0) node.awakeAtMillis = nowMillis + 5_000
                if (!isCalm && random.nextInt(600) == 0) node.restart()
                if (nowMillis < node.awakeAtMillis) return@forEach
                node.step(log, nowMillis, random)?.let { late.add(nowMillis + 3_000 to it) }
            }
            val leaders = nodes.filter { it.election.ownTerm(nowMillis) != null }
            assertTrue(leaders.size <= 1, "at $nowMillis ms: ${leaders.map { it.name }}")
            nodes.filter { nowMillis >= it.awakeAtMillis && it.orders(nowMillis) }.forEach {
                val other = orders.filterKeys { name -> name != it.name }.values.maxOrNull()
                val gapMillis = nowMillis - (other ?: -ORDER_LEASE_MILLIS)
                assertTrue(gapMillis >= ORDER_LEASE_MILLIS, "${it.name} orders at $nowMillis ms")
                orders[it.name] = nowMillis
            }
        }
        assertEquals(1, nodes.count { it.election.ownTerm(40_000) != null })
        val terms = log.records.map { it.term }
        assertEquals(terms.sorted(), terms)
    }

    private data class Case(
        val name: String,
        val last: LeaderRecord?,
        val nowMillis: Long,
        val expected: ElectionStep
    )

    @Test
    fun `when an instance takes the leadership`() {
        val other = LeaderRecord("b", "b-1", "h", 1)
        val cases = listOf(
            Case("an empty log is free", null, 0, ElectionStep.Append(0, -1)),
            Case("a silent leader is left its lease", other, 2_099, ElectionStep.Wait(2_100)),
            Case("then the log is read once more", other, 2_100, ElectionStep.Read(1)),
            Case(
                "one that resigned is followed at once",
                other.copy(isResigning = true),
                0,
                ElectionStep.Append(1, -1)
            ),
            Case(
                "an earlier process of this instance is gone",
                other.copy(instance = "a", run = "a-0"),
                0,
                ElectionStep.Append(1, -1)
            )
        )
        cases.forEach { case ->
            val election = LeaderElection("a", "a-1", times)
            val records = listOfNotNull(case.last).map { LeaderLogEntry(0, it) }
            election.observe(records, records.size.toLong(), 0)
            assertEquals(case.expected, election.next(case.nowMillis), case.name)
        }
    }

    @Test
    fun `a renewal seen by the last read starts the wait anew`() {
        val election = LeaderElection("a", "a-1", times)
        val leader = LeaderRecord("b", "b-1", "h", 1)
        election.observe(listOf(LeaderLogEntry(0, leader)), 1, 0)
        election.observe(listOf(LeaderLogEntry(1, leader.copy(term = 0))), 2, 2_100)
        assertEquals(ElectionStep.Wait(4_200), election.next(2_100))
        election.observe(emptyList(), 2, 4_200)
        assertEquals(ElectionStep.Append(2, -1), election.next(4_200))
    }

    @Test
    fun `a leader orders only while its record is fresh`() {
        val election = LeaderElection("a", "a-1", times)
        election.observe(emptyList(), 0, 0)
        val record = LeaderRecord("a", "a-1", "h", 1)
        election.appendStarted(record, 100)
        election.appendSucceeded(record, 0, 100)
        listOf(100L to true, 1_099L to true, 1_100L to false, 2_000L to false).forEach {
            assertEquals(it.second, election.mayOrder(it.first), "at ${it.first} ms")
        }
        assertEquals(0, election.ownTerm(2_000), "it still leads")
    }

    private companion object {
        const val ORDER_LEASE_MILLIS = 3_000L
    }
}
