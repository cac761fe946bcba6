/*
 * Follows a keyed topic: reads a snapshot of the newest value of each key, then each new record. If
 * the next record has aged out of the log, the feed reads a new snapshot, so no change is lost. The
 * leader reads some topics for all instances and relays their records to them; when the relayed
 * records stop or have a gap, the feed reads the log itself.
 */
package mustarddale.instance.serving.feed

import java.util.random.RandomGenerator
import kotlinx.coroutines.delay
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.SharedAction
import mustarddale.time.Clock

/** Receives the values of a feed, on the thread of the feed. */
public interface KeyedFeedListener {
    /** Replaces the whole state by [values], by key. */
    public fun onSnapshot(values: Map<String, ByteArray>)

    /** Sets [key] to [value], null if it was removed. */
    public fun onChange(key: String, value: ByteArray?)

    /** Called when the log stops responding. */
    public fun onDisconnected()

    /** Called when the log responds again. */
    public fun onReconnected()
}

/** A record's key and value, null if the key is removed. */
public data class KeyedRecord(public val key: String, public val value: ByteArray?)

/**
 * The timing of a feed's reads.
 *
 * @property waitMillis how long a read waits at the log for new records.
 * @property pauseMillis the pause after a read that returned records.
 */
public data class FeedTiming(public val waitMillis: Long, public val pauseMillis: Long)

/**
 * Records that another instance has read.
 *
 * @property fromOffset the offset of the first of [records].
 * @property ageMillis how long ago the latest read was sent, which found no records after these.
 * @property era the era of the log in which the records have their offsets.
 * @property notBeforeMillis a time before they were sent, by this process's clock; null if none is
 *   known, as a message may have been on its way for long.
 */
public data class RelayedRecords(
    public val fromOffset: Long,
    public val records: List<ByteArray>,
    public val ageMillis: Long,
    public val era: Long,
    public val notBeforeMillis: Long? = null
)

/** Follows [topic]; [parse] splits a record into key and value, null if it is unreadable. */
public class KeyedFeed(
    private val log: TopicLog,
    private val topic: String,
    private val timing: FeedTiming,
    private val parse: (ByteArray) -> KeyedRecord?,
    private val listener: KeyedFeedListener,
    private val clock: Clock,
    private val random: RandomGenerator,
    private val retries: StoreRetries = StoreRetries(clock, random)
) {
    private var consecutiveFailures = 0
    private val refreshes = SharedAction("refresh", REFRESH_INTERVAL_MILLIS) { readNow() }

    /** Whether the last read of the log itself has failed. */
    public var isDisconnected: Boolean = false
        private set

    /** The time as of which the state holds all records: when the last complete read was sent. */
    public var currentAsOfMillis: Long = Long.MIN_VALUE / 2
        private set

    /** Since when no record was missed. */
    public var followedSinceMillis: Long = clock.monotonicMillis()
        private set

    /** Called after each successful read for new records, also if there were none. */
    public var onRead: () -> Unit = {}

    /** The offset after the last known record, null before the first snapshot. */
    public var offset: Long? = null
        private set

    /** The era of the log in which [offset] is valid. */
    public var era: Long = 0
        private set

    private val recentRecords = ArrayDeque<TopicRecord>()
    private var relayedReadMillis = Long.MIN_VALUE / 2

    /** Follows the topic until the coroutine is cancelled. */
    public suspend fun run() {
        while (true) {
            if (log.era > era) startEra(log.era)
            val from = offset
            val remainingMillis = relayedReadMillis + RELAY_TTL_MILLIS - clock.monotonicMillis()
            when {
                from == null -> offset = readSnapshot()
                remainingMillis > 0 -> delay(remainingMillis)
                else -> readFrom(from)
            }
        }
    }

    /** Reads the log whenever [refresh] asks for it, until the coroutine is cancelled. */
    public suspend fun runRefreshes(): Unit = refreshes.run()

    /** Reads the log once more, for all that ask at the time; true if the state is now current. */
    public suspend fun refresh(): Boolean = refreshes.request() ?: false

    private suspend fun readNow(): Boolean {
        val from = offset
        if (from == null || isDisconnected) return false
        val sentMillis = clock.monotonicMillis()
        val read = log.read(topic, from, waitMillis = 0)
        if (read !is TopicRead.Records) {
            DecisionLog.record("feed_refresh_failed", "topic" to topic, "outcome" to read)
            return false
        }
        val records = read.records.map { it.bytes }
        if (log.era > era || !applyFrom(from, records)) return false
        if (read.isComplete) currentAsOfMillis = maxOf(currentAsOfMillis, sentMillis)
        if (records.isNotEmpty()) onRead()
        return read.isComplete
    }

    private fun startEra(newEra: Long) {
        startAfterGap("era" to newEra)
        era = newEra
        // What was lost is written again within the grace period of an outage.
        listener.onReconnected()
    }

    private fun startAfterGap(vararg cause: Pair<String, Any?>) {
        DecisionLog.record("feed_refold", "topic" to topic, "offset" to offset, *cause)
        followedSinceMillis = clock.monotonicMillis()
        offset = null
        recentRecords.clear()
    }

    /** Returns the records from [fromOffset] on, null if that is before or after the kept ones. */
    public fun recordsSince(fromOffset: Long): RelayedRecords? {
        val end = offset ?: return null
        val isKnown =
            fromOffset == end ||
                recentRecords.firstOrNull()?.let { it.offset <= fromOffset } ?: false
        if (!isKnown || fromOffset > end) return null
        val records = recentRecords.filter { it.offset >= fromOffset }.map { it.bytes }
        return RelayedRecords(fromOffset, records, clock.monotonicMillis() - currentAsOfMillis, era)
    }

    /** Applies those of the leader's records that are new; ignores all of them after a gap. */
    public fun applyRelayed(relayed: RelayedRecords) {
        if (relayed.era > era) startEra(relayed.era)
        if (relayed.era < era || !applyFrom(relayed.fromOffset, relayed.records)) return
        val readAtMillis = clock.monotonicMillis() - relayed.ageMillis
        relayedReadMillis = maxOf(relayedReadMillis, readAtMillis)
        relayed.notBeforeMillis?.let {
            currentAsOfMillis = maxOf(currentAsOfMillis, it - relayed.ageMillis)
        }
    }

    /** Applies those of [records] that are new; false if there is a gap before them. */
    private fun applyFrom(fromOffset: Long, records: List<ByteArray>): Boolean {
        val from = offset ?: return false
        val end = fromOffset + records.size
        if (fromOffset > from || end < from) return false
        records.drop((from - fromOffset).toInt()).forEachIndexed { index, bytes ->
            applyRecord(TopicRecord(from + index, bytes))
        }
        offset = end
        return true
    }

    private suspend fun readSnapshot(): Long? {
        val sentMillis = clock.monotonicMillis()
        return when (val read = log.readNewest(topic)) {
            is NewestRead.Values -> {
                recordSuccess()
                if (log.era > era) startEra(log.era)
                currentAsOfMillis = maxOf(currentAsOfMillis, sentMillis)
                listener.onSnapshot(read.values)
                read.endOffset
            }

            is NewestRead.Failed -> {
                recordFailure(read.reason)
                null
            }
        }
    }

    private suspend fun readFrom(from: Long) {
        val sentMillis = clock.monotonicMillis()
        val waitMillis = if (isDisconnected) 0 else timing.waitMillis
        val read = log.read(topic, from, waitMillis)
        // The leader may have relayed records during the read, or the log begun a new era.
        if (offset != from || log.era > era) return
        when (read) {
            is TopicRead.Records -> {
                recordSuccess()
                if (read.isComplete) currentAsOfMillis = maxOf(currentAsOfMillis, sentMillis)
                read.records.forEach { applyRecord(it) }
                offset = from + read.records.size
                onRead()
                if (read.records.isNotEmpty()) delay(timing.pauseMillis)
            }

            is TopicRead.AgedOut -> startAfterGap()

            is TopicRead.Failed -> recordFailure(read.reason)
        }
    }

    private fun applyRecord(record: TopicRecord) {
        recentRecords.addLast(record)
        if (recentRecords.size > MAX_RECENT_RECORDS) recentRecords.removeFirst()
        val keyedRecord = parse(record.bytes)
        if (keyedRecord == null) {
            DecisionLog.record("record_unreadable", "topic" to topic, "offset" to record.offset)
        } else {
            listener.onChange(keyedRecord.key, keyedRecord.value)
        }
    }

    private fun recordSuccess() {
        consecutiveFailures = 0
        retries.recordSuccess()
        if (!isDisconnected) return
        isDisconnected = false
        DecisionLog.record("dependency_regained", "dependency" to topic)
        listener.onReconnected()
    }

    private suspend fun recordFailure(reason: String) {
        if (!isDisconnected) {
            isDisconnected = true
            DecisionLog.record("dependency_lost", "dependency" to topic, "reason" to reason)
            listener.onDisconnected()
        }
        val base = INITIAL_RETRY_MILLIS shl consecutiveFailures.coerceAtMost(MAX_RETRY_DOUBLINGS)
        consecutiveFailures++
        retries.pauseAfterFailure(base + random.nextLong(base))
    }

    private companion object {
        /** Twice the interval of the leader's reads, below half of any limit on the state's age. */
        const val RELAY_TTL_MILLIS = 900L

        /** Bounds the calls to the log when many requests ask for a read. */
        const val REFRESH_INTERVAL_MILLIS = 50L

        /** The records of a few seconds, for instances that have just connected. */
        const val MAX_RECENT_RECORDS = 256

        /** Short, as most failures concern one connection; doubled twice at most. */
        const val INITIAL_RETRY_MILLIS = 80L
        const val MAX_RETRY_DOUBLINGS = 2
    }
}
