package mustarddale.serving.leadership

import java.util.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange

/** Tests the election alone and in a simulation with lost and delayed appends. */
class LeaderElectionTest {
    private val timings = ElectionTimings(
        2_000,
        renewalIntervalMillis = 500,
        orderWindowMillis = 1_000,
        maxClockDriftMillis = 100
    )

    /** The leadership log, which rejects appends at another offset than its end. */
    private class LeadershipLog {
        val records = ArrayList<LeaderLogEntry>()
        var era = 0L
            private set

        /** Comes back from a copy that lacks the last [lostRecords] records. */
        fun returnFromOlderCopy(lostRecords: Int) {
            era++
            repeat(minOf(lostRecords, records.size)) { records.removeLast() }
        }

        fun append(offset: Long, record: LeaderRecord): Boolean {
            if (offset != records.size.toLong()) return false
            records.add(LeaderLogEntry(offset, record))
            return true
        }
    }

    /** An instance that takes part in the election and may be paused or restarted. */
    private inner class Node(val name: String, var run: Int = 0) {
        var election = newElection()
        var resumesAtMillis = 0L
        private var mayOrderAtMillis = 0L
        private var orderBefore: LastOrder? = null
        private var wonAtMillis = 0L
        private var workTerm: Long? = null
        private var orderedAtMillis: Long? = null

        /** The terms that this node won, with the times. */
        val wonTerms = ArrayList<Pair<Long, Long>>()

        private fun newElection() = LeaderElection(name, "$name-$run", timings)

        fun restart() {
            run++
            election = newElection()
            orderedAtMillis = null
            workTerm = null
        }

        /** Whether this node leads at [nowMillis] and does the work of the term. */
        fun leadsWithWork(nowMillis: Long): Boolean =
            workTerm != null && workTerm == election.ownTerm(nowMillis)

        /** Returns the delivery of a message of [leader] at [arrivalMillis] to this node. */
        fun messageFrom(leader: Node, arrivalMillis: Long): Pair<Long, () -> Unit> {
            val term = leader.election.newest?.term
            val logEnd = leader.election.newest?.let { it.offset + 1 }
            return arrivalMillis to {
                val isFollowing = term == election.newest?.term
                if (isFollowing) election.onLeaderMessage(logEnd, arrivalMillis)
            }
        }

        /** Gives an order if allowed; returns whether it did. */
        fun tryOrder(nowMillis: Long): Boolean {
            val mayOrder = nowMillis >= mayOrderAtMillis && election.mayOrder(nowMillis)
            if (mayOrder) orderedAtMillis = nowMillis
            return mayOrder
        }

        /** Starts the work of a new term, with orders only after those of others have expired. */
        private fun handleRecorded(recorded: RecordedLeadership?, nowMillis: Long) {
            val term = recorded?.newTerm ?: return
            wonTerms += nowMillis to term.term
            workTerm = term.term
            orderBefore = term.lastForeignOrder
            wonAtMillis = term.sinceMillis
            orderedAtMillis = null
            val waitMillis = LastOrder.waitMillis(orderBefore, name, ORDER_LEASE_MILLIS)
            mayOrderAtMillis = term.sinceMillis + waitMillis
        }

        private fun record(term: Long, nowMillis: Long): LeaderRecord {
            val lastOrder = when {
                term == LeaderRecord.UNKNOWN_TERM ->
                    LastOrder.beforeTakeover(election.newest?.record, name)

                else -> orderedAtMillis?.let { LastOrder(name, nowMillis - it) }
                    ?: orderBefore?.agedBy(nowMillis - wonAtMillis)
            }
            val record = LeaderRecord(name, "$name-$run", "host", 1, term, lastOrder = lastOrder)
            return record.copy(era = election.era)
        }

        /** Takes one step; returns an append that reaches the log later, if there is one. */
        fun step(log: LeadershipLog, nowMillis: Long, random: Random): (() -> Unit)? {
            when (val step = election.next(nowMillis)) {
                is ElectionStep.Wait -> Unit

                is ElectionStep.Read -> if (!startsEra(log, nowMillis)) {
                    val recorded = election.observe(
                        log.records.drop(step.offset.toInt()),
                        log.records.size.toLong(),
                        nowMillis
                    )
                    handleRecorded(recorded, nowMillis)
                }

                is ElectionStep.Append -> return append(step, log, nowMillis, random)
            }
            return null
        }

        /** Begins the log's era if it is new to this node, as an answer shows it. */
        private fun startsEra(log: LeadershipLog, nowMillis: Long): Boolean {
            if (election.era == log.era) return false
            election.startEra(log.era, nowMillis)
            return true
        }

        private fun append(
            step: ElectionStep.Append,
            log: LeadershipLog,
            nowMillis: Long,
            random: Random
        ): (() -> Unit)? {
            val record = record(step.term, nowMillis)
            election.appendStarted(record, step.offset, nowMillis)
            val outcome = random.nextInt(10)
            if (outcome <= 1) {
                election.appendUnanswered()
                return if (outcome == 1) ({ log.append(step.offset, record) }) else null
            }
            if (!log.append(step.offset, record)) {
                election.appendRejected()
                return null
            }
            if (startsEra(log, nowMillis)) return null
            if (outcome == 2) {
                election.appendUnanswered()
            } else {
                handleRecorded(election.appendSucceeded(), nowMillis)
            }
            return null
        }
    }

    @Property(seed = "20261204", tries = 300)
    fun `two instances never lead at the same time, and one leads once faults stop`(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long
    ) = simulate(seed, hasOlderCopies = false)

    @Property(seed = "20261204", tries = 300)
    fun `two leaderships never have the same term although the log returns from older copies`(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long
    ) = simulate(seed, hasOlderCopies = true)

    private fun simulate(seed: Long, hasOlderCopies: Boolean) {
        val random = Random(seed)
        val log = LeadershipLog()
        val nodes = List(4) { Node("node-$it") }
        val delayed = ArrayList<Pair<Long, () -> Unit>>()
        val lastOrderMillis = HashMap<String, Long>()
        for (nowMillis in 0L..40_000L step 50) {
            delayed.filter { it.first <= nowMillis }.forEach { it.second() }
            delayed.removeIf { it.first <= nowMillis }
            val isStable = nowMillis > 30_000
            if (hasOlderCopies && !isStable && random.nextInt(150) == 0) {
                log.returnFromOlderCopy(random.nextInt(8))
            }
            nodes.forEach { node ->
                if (!isStable && random.nextInt(400) == 0) node.resumesAtMillis = nowMillis + 5_000
                if (!isStable && random.nextInt(600) == 0) node.restart()
                if (nowMillis < node.resumesAtMillis) return@forEach
                node.step(log, nowMillis, random)?.let { delayed.add(nowMillis + 3_000 to it) }
            }
            nodes.filter { it.election.ownTerm(nowMillis) != null }.forEach { leader ->
                nodes.filter { it != leader && random.nextInt(5) == 0 }.forEach { follower ->
                    val message = follower.messageFrom(leader, nowMillis + random.nextInt(300))
                    delayed.add(message)
                }
            }
            val leaders = nodes.filter { it.election.ownTerm(nowMillis) != null }
            assertTrue(leaders.size <= 1, "leaders at $nowMillis ms: ${leaders.map { it.name }}")
            nodes.filter { nowMillis >= it.resumesAtMillis && it.tryOrder(nowMillis) }.forEach {
                val otherOrderMillis =
                    lastOrderMillis.filterKeys { name -> name != it.name }.values.maxOrNull()
                val gapMillis = nowMillis - (otherOrderMillis ?: -ORDER_LEASE_MILLIS)
                assertTrue(
                    gapMillis >= ORDER_LEASE_MILLIS,
                    "${it.name} gives an order at $nowMillis ms, too soon after another's"
                )
                lastOrderMillis[it.name] = nowMillis
            }
        }
        assertEquals(1, nodes.count { it.election.ownTerm(40_000) != null })
        assertEquals(1, nodes.count { it.leadsWithWork(40_000) }, "leaders that do their work")
        val wonTerms = nodes.flatMap { it.wonTerms }.sortedBy { it.first }.map { it.second }
        assertEquals(wonTerms.sorted().distinct(), wonTerms)
        val terms = log.records.filter { it.record.era == log.era }.map { it.term }
        assertEquals(terms.sorted(), terms)
    }

    private data class Case(
        val name: String,
        val last: LeaderRecord?,
        val nowMillis: Long,
        val expected: ElectionStep
    )

    @Test
    fun `conditions for taking the leadership`() {
        val other = LeaderRecord("b", "b-1", "h", 1)
        val cases = listOf(
            Case("an empty log has no leader", null, 0, ElectionStep.Append(0, -1)),
            Case("a silent leader keeps its lease", other, 2_099, ElectionStep.Wait(2_100)),
            Case("then the log is read once more", other, 2_100, ElectionStep.Read(1)),
            Case(
                "a leader that resigned is replaced at once",
                other.copy(isResigning = true),
                0,
                ElectionStep.Append(1, -1)
            ),
            Case(
                "an earlier process of this instance has ended",
                other.copy(instance = "a", run = "a-0"),
                0,
                ElectionStep.Append(1, -1)
            )
        )
        cases.forEach { case ->
            val election = LeaderElection("a", "a-1", timings)
            val records = listOfNotNull(case.last).map { LeaderLogEntry(0, it) }
            election.observe(records, records.size.toLong(), 0)
            assertEquals(case.expected, election.next(case.nowMillis), case.name)
        }
    }

    @Test
    fun `a renewal found by the last read restarts the wait`() {
        val election = LeaderElection("a", "a-1", timings)
        val leader = LeaderRecord("b", "b-1", "h", 1)
        election.observe(listOf(LeaderLogEntry(0, leader)), 1, 0)
        election.observe(listOf(LeaderLogEntry(1, leader.copy(term = 0))), 2, 2_100)
        assertEquals(ElectionStep.Wait(4_200), election.next(2_100))
        election.observe(emptyList(), 2, 4_200)
        assertEquals(ElectionStep.Append(2, -1), election.next(4_200))
    }

    /** Guards against a lost leader whose lease begins anew when a follower looks at the log. */
    @Test
    fun `the lease of a lost leader counts from when its newest record became known`() {
        class Case(val name: String, val announcedEnd: Long?, val end: Long, val expected: Long)

        val cases = listOf(
            Case("the leader has told the end of the log", 3, end = 3, expected = 7_100),
            Case("it has renewed its lease since", 3, end = 4, expected = 8_200),
            Case("it has told nothing", null, end = 3, expected = 8_200)
        )
        cases.forEach { case ->
            val election = LeaderElection("a", "a-1", timings)
            val leader = LeaderRecord("b", "b-1", "h", 1)
            election.observe(listOf(LeaderLogEntry(0, leader)), 1, 0)
            election.onLeaderMessage(logEnd = 2, nowMillis = 4_500)
            election.onLeaderMessage(case.announcedEnd, nowMillis = 5_000)
            election.suspectLeader()
            assertEquals(ElectionStep.Read(1), election.next(6_100), case.name)
            val records = (1L..<case.end).map { LeaderLogEntry(it, leader.copy(term = 0)) }
            election.observe(records, case.end, 6_100)
            assertEquals(ElectionStep.Wait(case.expected), election.next(6_100), case.name)
        }
    }

    @Test
    fun `a leader gives orders only within the order window after its record`() {
        val election = LeaderElection("a", "a-1", timings)
        election.observe(emptyList(), 0, 0)
        val record = LeaderRecord("a", "a-1", "h", 1)
        election.appendStarted(record, 0, 100)
        election.appendSucceeded()
        listOf(100L to true, 1_099L to true, 1_100L to false, 2_000L to false).forEach {
            assertEquals(
                it.second,
                election.mayOrder(it.first),
                "whether the leader may give orders at ${it.first} ms"
            )
        }
        assertEquals(0, election.ownTerm(2_000), "the lease has ended")
    }

    private companion object {
        const val ORDER_LEASE_MILLIS = 3_000L
    }
}
