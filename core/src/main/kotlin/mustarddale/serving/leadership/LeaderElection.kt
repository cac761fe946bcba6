/*
 * Elects one leader among equal instances through conditional appends to one partition of the
 * platform's log. The offset of the first record of a leadership is its term and the fencing token
 * of its orders. The leader counts its lease from before it sent a record, the others from when
 * they read it, so two leases never overlap; an append that lands late fails its condition.
 */
package mustarddale.serving.leadership

/** A record of the leadership log with its [offset]. */
public data class LeaderLogEntry(public val offset: Long, public val record: LeaderRecord) {
    /** The term that the record belongs to. */
    public val term: Long
        get() = if (record.term == LeaderRecord.UNKNOWN_TERM) offset else record.term
}

/**
 * The durations of the election, in milliseconds.
 *
 * @property orderWindowMillis for how long after a record the leader may give orders; shorter than the
 *   lease, so that a successor knows that the last order is some time ago.
 */
public data class ElectionTimings(
    public val leaseMillis: Long,
    public val renewalIntervalMillis: Long,
    public val orderWindowMillis: Long,
    public val maxClockDriftMillis: Long
)

/** What the instance has to do next. */
public sealed interface ElectionStep {
    /** Nothing before [untilMillis]. */
    public data class Wait(public val untilMillis: Long) : ElectionStep

    /** Read the leadership log from [offset] on. */
    public data class Read(public val offset: Long) : ElectionStep

    /**
     * Append a record of this instance if the log still ends at [offset]; [term] as in the record.
     */
    public data class Append(public val offset: Long, public val term: Long) : ElectionStep
}

/**
 * The part of [instance], in its process [run], in the election; belongs to one thread.
 *
 * A record of the same instance's earlier process needs no waiting: that process is gone.
 */
public class LeaderElection(
    private val instance: String,
    private val run: String,
    private val times: ElectionTimings
) {
    private var sending: Sending? = null
    private var endOffset: Long? = null
    private var seenAtMillis = 0L
    private var readAtMillis = 0L
    private var heardAtMillis = Long.MIN_VALUE
    private var ownLeaseUntilMillis = Long.MIN_VALUE
    private var renewAtMillis = 0L
    private var ownTerm: Long? = null
    private var mustRead = true

    /** The newest record that this instance knows of. */
    public var newest: LeaderLogEntry? = null
        private set

    /** The term of this instance's leadership at [nowMillis], null while it does not lead. */
    public fun ownTerm(nowMillis: Long): Long? = ownTerm?.takeIf { nowMillis < ownLeaseUntilMillis }

    /** Whether this instance may give orders at [nowMillis]. */
    public fun mayOrder(nowMillis: Long): Boolean = ownTerm(nowMillis) != null &&
        nowMillis < ownLeaseUntilMillis - times.leaseMillis + times.orderWindowMillis

    /** Returns how long ago, at least, the newest known leader gave its last order. */
    public fun minOrderAgeMillis(nowMillis: Long): Long =
        (nowMillis - seenAtMillis - times.orderWindowMillis - times.maxClockDriftMillis)
            .coerceAtLeast(0)

    /** Takes in a read that found [records] and the log's [end]. */
    public fun observe(records: List<LeaderLogEntry>, end: Long, nowMillis: Long) {
        mustRead = false
        readAtMillis = nowMillis
        if (end != endOffset) seenAtMillis = nowMillis
        endOffset = end
        val last = records.maxByOrNull { it.offset } ?: return
        newest = last
        val open = sending
        if (open != null && last.record == open.record) {
            appendSucceeded(open.record, last.offset, open.atMillis)
        } else if (last.record.run != run) {
            ownTerm = null
        }
    }

    /** Notes that [record] is about to be sent. */
    public fun appendStarted(record: LeaderRecord, nowMillis: Long) {
        sending = Sending(record, nowMillis)
    }

    /** Takes in that the record sent at [sentMillis] stands at [offset]. */
    public fun appendSucceeded(record: LeaderRecord, offset: Long, sentMillis: Long) {
        sending = null
        newest = LeaderLogEntry(offset, record)
        endOffset = offset + 1
        seenAtMillis = sentMillis
        ownTerm = LeaderLogEntry(offset, record).term.takeIf { !record.isResigning }
        ownLeaseUntilMillis = sentMillis + times.leaseMillis
        renewAtMillis = sentMillis + times.renewalIntervalMillis
    }

    /** Takes in that the log did not end where it was expected, or that the outcome is unknown. */
    public fun appendFailed() {
        mustRead = true
    }

    /** Gives the leadership up: another leader was heard of, or the clock cannot be trusted. */
    public fun stepDown() {
        ownTerm = null
        ownLeaseUntilMillis = Long.MIN_VALUE
        mustRead = true
    }

    /** Notes that the leader of the newest known term was heard itself. */
    public fun onLeaderMessage(nowMillis: Long) {
        heardAtMillis = nowMillis
    }

    /** Notes that the leader has fallen silent, so that the log has to be read. */
    public fun suspectLeader() {
        mustRead = true
    }

    /** Returns what to do at [nowMillis]. */
    public fun next(nowMillis: Long): ElectionStep {
        val end = endOffset
        if (mustRead || end == null) return ElectionStep.Read(end ?: 0)
        val term = ownTerm(nowMillis)
        if (term != null) {
            if (nowMillis < renewAtMillis) return ElectionStep.Wait(renewAtMillis)
            return ElectionStep.Append(end, term)
        }
        return nextWithoutTerm(end, nowMillis)
    }

    private fun nextWithoutTerm(end: Long, nowMillis: Long): ElectionStep {
        val last = newest?.record
        val isVacant = last == null || last.isResigning || last.instance == instance
        if (!isVacant) {
            val waitMillis = times.leaseMillis + times.maxClockDriftMillis
            val silentAtMillis = maxOf(seenAtMillis, heardAtMillis) + waitMillis
            if (nowMillis < silentAtMillis) return ElectionStep.Wait(silentAtMillis)
            // Only a read that found nothing new for a whole lease shows that nobody leads.
            if (readAtMillis < seenAtMillis + waitMillis) return ElectionStep.Read(end)
        }
        return ElectionStep.Append(end, LeaderRecord.UNKNOWN_TERM)
    }

    private data class Sending(val record: LeaderRecord, val atMillis: Long)
}
