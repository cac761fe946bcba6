/*
 * Elects a leader among equal instances by conditional appends to one partition of the platform's
 * log. The log's era and the offset of the first record of a leadership make its term, which is the
 * fencing token of its orders. The leader counts its lease from before it sends a record, the
 * others from when they read the record, so leases never overlap; a delayed append fails its
 * condition. When the log returns from an older copy, which begins an era, no leadership outlasts
 * it, and the next one begins a lease later. An append without an answer may still be in the log,
 * so what its success would need is kept until a read shows its outcome. A leader tells its
 * followers, which do not read the log, where it ends: if it still ends there when the leader is
 * lost, the lease counts from that message.
 */
package mustarddale.serving.leadership

/** A record of the leadership log and its [offset]. */
public data class LeaderLogEntry(public val offset: Long, public val record: LeaderRecord) {
    /** The term of the leadership that the record belongs to. */
    public val term: Long
        get() = when (record.term) {
            LeaderRecord.UNKNOWN_TERM -> LeaderRecord.termOf(record.era, offset)
            else -> record.term
        }
}

/**
 * The durations of the election.
 *
 * @property leaseMillis how long a record keeps its writer in the lead.
 * @property renewalIntervalMillis the time after which the leader renews its record.
 * @property orderWindowMillis how long after a record the leader may give orders; shorter than the
 *   lease, so that the next leader knows a minimum age of the last order.
 * @property maxClockDriftMillis the maximum drift between two clocks within a lease.
 */
public data class ElectionTimings(
    public val leaseMillis: Long,
    public val renewalIntervalMillis: Long,
    public val orderWindowMillis: Long,
    public val maxClockDriftMillis: Long
)

/** The next step of an instance in the election. */
public sealed interface ElectionStep {
    /** Do nothing before [untilMillis]. */
    public data class Wait(public val untilMillis: Long) : ElectionStep

    /** Read the leadership log from [offset]. */
    public data class Read(public val offset: Long) : ElectionStep

    /** Append a record of this instance in [term] if the log still ends at [offset]. */
    public data class Append(public val offset: Long, public val term: Long) : ElectionStep
}

/**
 * The election as seen by the process [run] of [instance]; not thread-safe.
 *
 * It does not wait for the lease of an earlier process of the same instance, which has ended.
 */
public class LeaderElection(
    private val instance: String,
    private val run: String,
    private val timings: ElectionTimings
) {
    private val pendingAppends = ArrayList<PendingAppend>()
    private var endOffset: Long? = null
    private var logChangedAtMillis = 0L
    private var readAtMillis = 0L
    private var leaderMessageAtMillis = Long.MIN_VALUE
    private var announcedEnd: Long? = null
    private var announcedAtMillis = 0L
    private var leaseEndMillis = Long.MIN_VALUE
    private var renewAtMillis = 0L
    private var ownTerm: Long? = null
    private var mustRead = true
    private var newEraAtMillis = Long.MIN_VALUE

    /** The era of the log, which rises when records may have been lost. */
    public var era: Long = 0
        private set

    /** Whether records of the last leaders may have been lost, as none of this era is known. */
    public val mayLackRecords: Boolean get() = era > (newest?.record?.era ?: 0)

    /** The newest known record of the log. */
    public var newest: LeaderLogEntry? = null
        private set

    /** Returns the term in which this instance leads at [nowMillis], null if it does not lead. */
    public fun ownTerm(nowMillis: Long): Long? = ownTerm?.takeIf { nowMillis < leaseEndMillis }

    /** Whether this instance may give orders to engines at [nowMillis]. */
    public fun mayOrder(nowMillis: Long): Boolean = ownTerm(nowMillis) != null &&
        nowMillis < leaseEndMillis - timings.leaseMillis + timings.orderWindowMillis

    /** Returns the minimum age of the last order of the newest known leader at [nowMillis]. */
    public fun minOrderAgeMillis(nowMillis: Long): Long =
        (nowMillis - logChangedAtMillis - timings.orderWindowMillis - timings.maxClockDriftMillis)
            .coerceAtLeast(0)

    /** Begins [newEra], in which offsets are given out again; no leadership outlasts it. */
    public fun startEra(newEra: Long, nowMillis: Long) {
        era = newEra
        newEraAtMillis = nowMillis
        logChangedAtMillis = nowMillis
        newest = null
        pendingAppends.clear()
        endOffset = null
        announcedEnd = null
        stepDown()
    }

    /**
     * Processes the result of a read: the new [records] and the offset [end] of the log's end.
     * Returns the newest record of this process if the read shows that its append succeeded.
     */
    public fun observe(
        records: List<LeaderLogEntry>,
        end: Long,
        nowMillis: Long
    ): RecordedLeadership? {
        mustRead = false
        readAtMillis = nowMillis
        if (end != endOffset) {
            logChangedAtMillis = if (end == announcedEnd) announcedAtMillis else nowMillis
        }
        endOffset = end
        // An append that was sent in an earlier era may reach the log after newer records.
        val latest = records.maxWithOrNull(compareBy({ it.record.era }, { it.offset }))
            ?.takeIf { it.record.era >= (newest?.record?.era ?: 0) }
        val appended = latest?.let { entry ->
            pendingAppends.firstOrNull { it.offset == entry.offset && it.record == entry.record }
        }
        pendingAppends.removeIf { it.offset < end }
        if (latest == null) return null
        newest = latest
        if (appended != null) return recordAppended(appended)
        if (latest.record.run != run) ownTerm = null
        return null
    }

    /** Records that the append of [record] at [offset] is about to be sent. */
    public fun appendStarted(record: LeaderRecord, offset: Long, nowMillis: Long) {
        val orderAgeMillis = minOrderAgeMillis(nowMillis)
        val lastForeignOrder = if (mayLackRecords) {
            LastOrder(LastOrder.UNKNOWN_INSTANCE, orderAgeMillis)
        } else {
            LastOrder.beforeTakeover(newest?.record, instance, orderAgeMillis)
        }
        if (pendingAppends.size == MAX_PENDING_APPENDS) pendingAppends.removeFirst()
        pendingAppends +=
            PendingAppend(record, offset, nowMillis, newest?.record, lastForeignOrder)
    }

    /** Records the answer that the append started last succeeded. */
    public fun appendSucceeded(): RecordedLeadership? {
        val appended = pendingAppends.lastOrNull() ?: return null
        endOffset = appended.offset + 1
        newest = LeaderLogEntry(appended.offset, appended.record)
        pendingAppends.clear()
        return recordAppended(appended)
    }

    /** Makes the lease, and the term if it is the first record of one, depend on [appended]. */
    private fun recordAppended(appended: PendingAppend): RecordedLeadership {
        val record = appended.record
        val term = LeaderLogEntry(appended.offset, record).term
        logChangedAtMillis = appended.sentMillis
        ownTerm = term.takeIf { !record.isResigning }
        leaseEndMillis = appended.sentMillis + timings.leaseMillis
        renewAtMillis = appended.sentMillis + timings.renewalIntervalMillis
        val newTerm = LeadershipTerm(
            term,
            appended.predecessor,
            appended.lastForeignOrder,
            appended.sentMillis
        ).takeIf { record.term == LeaderRecord.UNKNOWN_TERM }
        return RecordedLeadership(record, newTerm)
    }

    /** Records the answer that the append started last was rejected. */
    public fun appendRejected() {
        pendingAppends.removeLastOrNull()
        mustRead = true
    }

    /** Records that the outcome of the append started last is unknown. */
    public fun appendUnanswered() {
        mustRead = true
    }

    /** Ends the leadership, because there is another leader or the clock is not reliable. */
    public fun stepDown() {
        ownTerm = null
        leaseEndMillis = Long.MIN_VALUE
        mustRead = true
    }

    /**
     * Records a message received directly from the leader of the newest known term, whose newest
     * known record is the last one before the offset [logEnd]; null if it does not say so.
     */
    public fun onLeaderMessage(logEnd: Long?, nowMillis: Long) {
        leaderMessageAtMillis = nowMillis
        // Offsets of an earlier era have been given out again.
        if (newest?.term?.let { LeaderRecord.eraOf(it) } != era) return
        if (logEnd == null || logEnd <= (announcedEnd ?: -1)) return
        announcedEnd = logEnd
        announcedAtMillis = nowMillis
    }

    /** Records that the leader does not respond, so that the log has to be read. */
    public fun suspectLeader() {
        mustRead = true
    }

    /** Returns the next step at [nowMillis]. */
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
        val latest = newest?.record
        val waitMillis = timings.leaseMillis + timings.maxClockDriftMillis
        val isVacant = latest == null || latest.isResigning || latest.instance == instance
        if (mayLackRecords && nowMillis < newEraAtMillis + waitMillis) {
            // A leader whose record is lost may lead until its lease ends.
            return ElectionStep.Wait(newEraAtMillis + waitMillis)
        }
        if (!isVacant) {
            val timeoutAtMillis = maxOf(logChangedAtMillis, leaderMessageAtMillis) + waitMillis
            if (nowMillis < timeoutAtMillis) return ElectionStep.Wait(timeoutAtMillis)
            // Without a new record for a whole lease, as seen by a read after it, nobody leads.
            if (readAtMillis < logChangedAtMillis + waitMillis) return ElectionStep.Read(end)
        }
        return ElectionStep.Append(end, LeaderRecord.UNKNOWN_TERM)
    }

    /** An append without an answer, and what was known when it was sent. */
    private data class PendingAppend(
        val record: LeaderRecord,
        val offset: Long,
        val sentMillis: Long,
        val predecessor: LeaderRecord?,
        val lastForeignOrder: LastOrder?
    )

    private companion object {
        /** Bounds the memory during an outage; a dropped one only delays the next term. */
        const val MAX_PENDING_APPENDS = 8
    }
}
