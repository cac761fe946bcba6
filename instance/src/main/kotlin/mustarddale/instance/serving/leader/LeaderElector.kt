/*
 * Keeps this instance's part in the election: reads and appends the leadership log as the election
 * asks for, and tells who leads. It runs on the event loop.
 */
package mustarddale.instance.serving.leader

import java.util.random.RandomGenerator
import kotlin.math.abs
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import mustarddale.instance.log.AppendResult
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.feed.TopicLog
import mustarddale.instance.serving.feed.TopicRead
import mustarddale.instance.serving.feed.TopicRecord
import mustarddale.serving.leadership.ElectionStep
import mustarddale.serving.leadership.ElectionTimes
import mustarddale.serving.leadership.LastOrder
import mustarddale.serving.leadership.LeaderElection
import mustarddale.serving.leadership.LeaderRecord
import mustarddale.serving.leadership.LoggedLeader
import mustarddale.time.Clock

/**
 * A leadership that this instance has won.
 *
 * @property orderBefore the newest order that another leader may have given.
 */
public data class LeadershipTerm(
    public val term: Long,
    public val predecessor: LeaderRecord?,
    public val orderBefore: LastOrder?,
    public val sinceMillis: Long
)

/** Takes part in the election as [self], which names this process and its address. */
public class LeaderElector(
    private val log: TopicLog,
    private val self: LeaderRecord,
    private val clock: Clock,
    private val random: RandomGenerator
) {
    private val election = LeaderElection(
        self.instance,
        self.run,
        ElectionTimes(LEASE_MILLIS, RENEWAL_MILLIS, ORDER_MILLIS, DRIFT_MILLIS)
    )
    private val wakeups = Channel<Unit>(Channel.CONFLATED)
    private var isLeaving = false
    private var clockGapMillis = clock.wallMillis() - clock.monotonicMillis()

    /** Called with each leadership that this instance wins. */
    public var onWon: (LeadershipTerm) -> Unit = {}

    /** Fills in what the next record says of the leader's work, given the newest known record. */
    public var describe: (LeaderRecord, LeaderRecord?) -> LeaderRecord = { record, _ -> record }

    /** Called when a record of this instance stands in the log. */
    public var onRecorded: (LeaderRecord) -> Unit = {}

    /** The term that this instance leads in, null while it does not. */
    public fun ownTerm(): Long? {
        checkClock()
        return election.ownTerm(clock.monotonicMillis())
    }

    /** Whether this instance may give orders to engines now. */
    public fun mayOrder(): Boolean {
        checkClock()
        return election.mayOrder(clock.monotonicMillis())
    }

    /** The newest known leader, null if there is none or it has resigned. */
    public fun leader(): LoggedLeader? = election.newest?.takeIf { !it.record.isResigning }

    /** Notes that the leader of [term] was heard itself. */
    public fun heardLeader(term: Long) {
        if (term == election.newest?.term) election.heardLeader(clock.monotonicMillis())
    }

    /** Notes that the leader does not answer, or says that it does not lead. */
    public fun suspectLeader() {
        election.suspectLeader()
        wakeups.trySend(Unit)
    }

    /** Notes that an engine has seen a newer fencing token. */
    public fun fenced() {
        DecisionLog.record("leader_stepped_down", "reason" to "an engine has a newer fencing token")
        election.stepDown()
        wakeups.trySend(Unit)
    }

    /** Takes part until it is cancelled. */
    public suspend fun run() {
        while (true) {
            checkClock()
            val nowMillis = clock.monotonicMillis()
            when (val step = election.next(nowMillis)) {
                is ElectionStep.Wait -> pause(step.untilMillis - nowMillis)
                is ElectionStep.Read -> read(step.offset)
                is ElectionStep.Append -> if (isLeaving) pause(MAX_PAUSE_MILLIS) else append(step)
            }
        }
    }

    /** Resigns, so that another instance can lead at once. */
    public suspend fun resign() {
        isLeaving = true
        val term = ownTerm() ?: return
        val end = checkNotNull(election.newest).offset + 1
        val record = describe(self.copy(term = term, isResigning = true), election.newest?.record)
        election.stepDown()
        val result = log.appendAt(TOPIC, end, encode(record))
        DecisionLog.record("leader_resigned", "term" to term, "outcome" to result)
    }

    private suspend fun pause(millis: Long) {
        withTimeoutOrNull(millis.coerceIn(1, MAX_PAUSE_MILLIS)) { wakeups.receive() }
    }

    private suspend fun read(offset: Long) {
        when (val read = log.read(TOPIC, offset, waitMillis = 0)) {
            is TopicRead.Records -> observe(read)

            is TopicRead.AgedOut -> when (val rest = log.read(TOPIC, read.firstOffset, 0)) {
                is TopicRead.Records -> observe(rest)
                else -> delay(retryMillis())
            }

            is TopicRead.Failed -> delay(retryMillis())
        }
    }

    private fun observe(read: TopicRead.Records) {
        val before = election.newest?.record?.run
        election.observe(
            read.records.mapNotNull {
                decode(it)
            },
            read.endOffset,
            clock.monotonicMillis()
        )
        val leader = election.newest
        if (leader != null && leader.record.run != before) {
            DecisionLog.record(
                "leader_known",
                "leader" to leader.record.instance,
                "term" to leader.term,
                "resigning" to leader.record.isResigning
            )
        }
    }

    private suspend fun append(step: ElectionStep.Append) {
        val predecessor = election.newest?.record
        val record = describe(self.copy(term = step.term), predecessor)
        val sentMillis = clock.monotonicMillis()
        val sinceOrders = election.sinceOrdersMillis(sentMillis)
        val orderBefore = LastOrder.before(predecessor, self.instance, sinceOrders)
        election.sending(record, sentMillis)
        when (val result = log.appendAt(TOPIC, step.offset, encode(record))) {
            is AppendResult.Appended -> {
                election.appended(record, result.firstOffset, sentMillis)
                onRecorded(record)
                if (step.term == LeaderRecord.UNKNOWN_TERM) {
                    won(LeadershipTerm(result.firstOffset, predecessor, orderBefore, sentMillis))
                }
            }

            is AppendResult.NotAppended, is AppendResult.Unknown -> {
                DecisionLog.record("leader_append_failed", "outcome" to result)
                election.appendFailed()
                delay(retryMillis())
            }
        }
    }

    private fun won(term: LeadershipTerm) {
        DecisionLog.record(
            "leader_won",
            "term" to term.term,
            "predecessor" to term.predecessor?.instance,
            "orderBefore" to term.orderBefore
        )
        onWon(term)
    }

    /** A jump between the clocks may be a suspension that the monotonic clock did not count. */
    private fun checkClock() {
        val gap = clock.wallMillis() - clock.monotonicMillis()
        val jumpMillis = gap - clockGapMillis
        clockGapMillis = gap
        if (abs(jumpMillis) <= MAX_CLOCK_JUMP_MILLIS) return
        DecisionLog.record("clock_jumped", "millis" to jumpMillis)
        if (election.ownTerm(clock.monotonicMillis()) != null) election.stepDown()
    }

    private fun retryMillis(): Long = RETRY_MILLIS + random.nextLong(RETRY_MILLIS)

    private fun encode(record: LeaderRecord): ByteArray =
        Json.encodeToString(LeaderRecord.serializer(), record).toByteArray()

    private fun decode(record: TopicRecord): LoggedLeader? = try {
        val text = String(record.bytes, Charsets.UTF_8)
        LoggedLeader(record.offset, Json.decodeFromString(LeaderRecord.serializer(), text))
    } catch (e: SerializationException) {
        DecisionLog.record("record_unreadable", "topic" to TOPIC, "error" to e.toString())
        null
    }

    private companion object {
        const val TOPIC = "leadership"

        /** Short, so that a crash is noticed soon; four renewals fit into it. */
        const val LEASE_MILLIS = 2_000L
        const val RENEWAL_MILLIS = 500L

        /** One renewal may take as long again before orders stop. */
        const val ORDER_MILLIS = 1_000L

        /** Clocks of two machines drift by far less within one lease. */
        const val DRIFT_MILLIS = 100L

        /** Bounds how late a wake-up that was missed is noticed. */
        const val MAX_PAUSE_MILLIS = 500L

        /** Answers of the log take 4 ms; a retry a little later finds another connection. */
        const val RETRY_MILLIS = 100L

        /** Above the usual correction of the time of day, below any suspension that matters. */
        const val MAX_CLOCK_JUMP_MILLIS = 300L
    }
}
