/*
 * Runs leader election for this instance: reads the leadership log and appends to it as the state
 * machine LeaderElection requires, and provides the current leader. Runs on the event loop.
 */
package mustarddale.instance.serving.leader

import java.util.random.RandomGenerator
import kotlin.math.abs
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.instance.log.AppendResult
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.feed.StoreRetries
import mustarddale.instance.serving.feed.TopicLog
import mustarddale.instance.serving.feed.TopicRead
import mustarddale.serving.leadership.ElectionStep
import mustarddale.serving.leadership.ElectionTimings
import mustarddale.serving.leadership.LeaderElection
import mustarddale.serving.leadership.LeaderLogEntry
import mustarddale.serving.leadership.LeaderRecord
import mustarddale.serving.leadership.LeadershipTerm
import mustarddale.serving.leadership.RecordedLeadership
import mustarddale.time.Clock

/** Takes part in the election as [self], which holds this process's id and address. */
public class LeaderElector(
    private val log: TopicLog,
    private val self: LeaderRecord,
    private val clock: Clock,
    private val random: RandomGenerator,
    private val retries: StoreRetries = StoreRetries(clock, random)
) {
    private val election = LeaderElection(
        self.instance,
        self.run,
        ElectionTimings(
            LEASE_MILLIS,
            RENEWAL_INTERVAL_MILLIS,
            ORDER_WINDOW_MILLIS,
            MAX_CLOCK_DRIFT_MILLIS
        )
    )
    private val records = LeadershipRecords(log, clock)
    private val wakeups = Channel<Unit>(Channel.CONFLATED)
    private var hasResigned = false
    private var heldBackSinceMillis: Long? = null
    private var clockOffsetMillis = clock.wallMillis() - clock.monotonicMillis()

    /** Whether this instance should lead while others can; it stands in if nobody else does. */
    public var isEligible: () -> Boolean = { true }

    /** Called once with each term that this instance wins. */
    public var onElected: (LeadershipTerm) -> Unit = {}

    /** Called with the newest record whenever another process has become the leader. */
    public var onLeaderKnown: (LeaderRecord) -> Unit = {}

    /** Fills in the leader's state in its next record, given the newest known record. */
    public var fillInRecord: (LeaderRecord, LeaderRecord?) -> LeaderRecord = { record, _ -> record }

    /** Called with each record of this instance that is known to be in the log. */
    public var onAppended: (LeaderRecord) -> Unit = {}

    /** Returns the term of this instance's leadership, null while it is not the leader. */
    public fun ownTerm(): Long? {
        checkClock()
        checkEra()
        return election.ownTerm(clock.monotonicMillis())
    }

    /** Whether this instance may send orders to engines now. */
    public fun mayOrder(): Boolean {
        checkClock()
        checkEra()
        return election.mayOrder(clock.monotonicMillis())
    }

    /** The id of this process. */
    public val processId: String get() = self.run

    /** Returns the newest known leader, null if there is none or it has resigned. */
    public fun leader(): LeaderLogEntry? = election.newest?.takeIf { !it.record.isResigning }

    /** The offset after the newest known record, null if there is none. */
    public val logEnd: Long? get() = election.newest?.let { it.offset + 1 }

    /** Records a message of the leader of [term], for which the log ends at [leaderLogEnd]. */
    public fun recordLeaderContact(term: Long, leaderLogEnd: Long?) {
        if (term != election.newest?.term) return
        election.onLeaderMessage(leaderLogEnd, clock.monotonicMillis())
    }

    /** Reads the log again, because the leader does not respond or says that it no longer leads. */
    public fun suspectLeader() {
        election.suspectLeader()
        wakeups.trySend(Unit)
    }

    /** Steps down, because an engine has seen a newer fencing token. */
    public fun handleFenced(): Unit = stepDown("an engine has a newer fencing token")

    /** Steps down because of [reason]; the next leader is elected when the lease has ended. */
    public fun stepDown(reason: String) {
        DecisionLog.record("leader_stepped_down", "reason" to reason)
        election.stepDown()
        wakeups.trySend(Unit)
    }

    /** Takes part in the election until cancelled. */
    public suspend fun run() {
        while (true) {
            checkClock()
            checkEra()
            val nowMillis = clock.monotonicMillis()
            when (val step = election.next(nowMillis)) {
                is ElectionStep.Wait -> pause(step.untilMillis - nowMillis)
                is ElectionStep.Read -> read(step.offset)
                is ElectionStep.Append -> when {
                    hasResigned -> pause(MAX_PAUSE_MILLIS)
                    mustHoldBack(step, nowMillis) -> holdBack()
                    else -> append(step)
                }
            }
        }
    }

    /** Whether another instance should become leader first. */
    private fun mustHoldBack(step: ElectionStep.Append, nowMillis: Long): Boolean {
        if (step.term != LeaderRecord.UNKNOWN_TERM || isEligible()) {
            heldBackSinceMillis = null
            return false
        }
        val sinceMillis = heldBackSinceMillis ?: nowMillis
        heldBackSinceMillis = sinceMillis
        return nowMillis - sinceMillis < MAX_HOLD_BACK_MILLIS
    }

    private suspend fun holdBack() {
        pause(RETRY_DELAY_MILLIS)
        election.suspectLeader()
    }

    /** Hands the leadership over because of [reason]; this instance may lead again later. */
    public suspend fun yieldLeadership(reason: String) {
        DecisionLog.record("leadership_yielded", "reason" to reason)
        appendResignation()
    }

    /** Resigns for good, so that another instance can become leader at once. */
    public suspend fun resign() {
        hasResigned = true
        appendResignation()
    }

    private suspend fun appendResignation() {
        val term = ownTerm() ?: return
        val endOffset = checkNotNull(election.newest).offset + 1
        val record =
            fillInRecord(
                self.copy(term = term, era = election.era, isResigning = true),
                election.newest?.record
            )
        election.stepDown()
        val result = records.append(record, endOffset)
        DecisionLog.record("leader_resigned", "term" to term, "outcome" to result)
    }

    private fun checkEra() {
        if (log.era == election.era) return
        DecisionLog.record("leader_era", "before" to election.era, "now" to log.era)
        election.startEra(log.era, clock.monotonicMillis())
    }

    private suspend fun pause(millis: Long) {
        withTimeoutOrNull(millis.coerceIn(1, MAX_PAUSE_MILLIS)) { wakeups.receive() }
    }

    private suspend fun read(offset: Long) {
        val read = records.read(offset)
        when {
            log.era != election.era -> return
            read is TopicRead.Records -> {
                retries.recordSuccess()
                observe(read)
            }

            else -> retries.pauseAfterFailure(retryDelayMillis())
        }
    }

    private fun observe(read: TopicRead.Records) {
        val previousRun = election.newest?.record?.run
        val recorded = election.observe(
            records.newestOf(read.records),
            read.nextOffset,
            clock.monotonicMillis()
        )
        handleRecorded(recorded, "read")
        val leader = election.newest
        if (leader != null && leader.record.run != previousRun) {
            DecisionLog.record(
                "leader_known",
                "leader" to leader.record.instance,
                "term" to leader.term,
                "resigning" to leader.record.isResigning
            )
            onLeaderKnown(leader.record)
        }
    }

    private suspend fun append(step: ElectionStep.Append) {
        val unfilled = self.copy(term = step.term, era = election.era)
        val record = fillInRecord(unfilled, election.newest?.record)
        election.appendStarted(record, step.offset, clock.monotonicMillis())
        val result = records.append(record, step.offset)
        if (log.era != election.era) return
        if (result is AppendResult.Appended) {
            retries.recordSuccess()
            handleRecorded(election.appendSucceeded(), "answer")
            return
        }
        DecisionLog.record("leader_append_failed", "outcome" to result)
        if (result is AppendResult.NotAppended) {
            election.appendRejected()
        } else {
            election.appendUnanswered()
        }
        delay(retryDelayMillis())
    }

    /** Handles a record of this process that is in the log, as an answer or a read shows. */
    private fun handleRecorded(recorded: RecordedLeadership?, source: String) {
        if (recorded == null) return
        onAppended(recorded.record)
        val term = recorded.newTerm ?: return
        DecisionLog.record(
            "leader_won",
            "term" to term.term,
            "predecessor" to term.predecessor?.instance,
            "orderBefore" to term.lastForeignOrder,
            "knownFrom" to source
        )
        onElected(term)
    }

    /** Steps down after a clock jump, as the monotonic clock may not count time in suspension. */
    private fun checkClock() {
        val offsetMillis = clock.wallMillis() - clock.monotonicMillis()
        val jumpMillis = offsetMillis - clockOffsetMillis
        clockOffsetMillis = offsetMillis
        if (abs(jumpMillis) <= MAX_CLOCK_JUMP_MILLIS) return
        DecisionLog.record("clock_jumped", "millis" to jumpMillis)
        if (election.ownTerm(clock.monotonicMillis()) != null) election.stepDown()
    }

    private fun retryDelayMillis(): Long = RETRY_DELAY_MILLIS + random.nextLong(RETRY_DELAY_MILLIS)

    private companion object {
        /** Short, so that a crash is detected soon; four renewals fit into it. */
        const val LEASE_MILLIS = 2_000L
        const val RENEWAL_INTERVAL_MILLIS = 500L

        /** Orders stop two renewal intervals after a renewal, so the next may be late by one. */
        const val ORDER_WINDOW_MILLIS = 1_000L

        /** Clocks of two instances drift apart by far less than this within one lease. */
        const val MAX_CLOCK_DRIFT_MILLIS = 100L

        /** Several elections can take place in this time. */
        const val MAX_HOLD_BACK_MILLIS = 2_000L

        /** Bounds the delay if a wake-up is missed. */
        const val MAX_PAUSE_MILLIS = 500L

        /** The log responds in 4 ms; a short delay lets the retry use another connection. */
        const val RETRY_DELAY_MILLIS = 100L

        /** Above the usual corrections of the wall clock, below any suspension that matters. */
        const val MAX_CLOCK_JUMP_MILLIS = 300L
    }
}
