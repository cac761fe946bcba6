/*
 * Follows the newest records of a keyed topic: the whole state once, then each change. When history
 * has aged out, the whole state is read again; a gap is never skipped. Records may also come from
 * the leader, who reads for all; when its news stop or have a gap, the feed reads by itself.
 */
package mustarddale.instance.serving.feed

import java.util.random.RandomGenerator
import kotlinx.coroutines.delay
import mustarddale.instance.serving.DecisionLog
import mustarddale.time.Clock

/** Takes in what a feed finds; called on the thread of the feed. */
public interface KeyedFeedListener {
    /** Takes in the whole state. */
    public fun onSnapshot(values: Map<String, ByteArray>)

    /** Takes in a new value of [key], null if it was removed. */
    public fun onChange(key: String, value: ByteArray?)

    /** The log has fallen silent. */
    public fun onDisconnected()

    /** The log answers again. */
    public fun onReconnected()
}

/** A record's key and value, null if the key is removed. */
public data class KeyedRecord(public val key: String, public val value: ByteArray?)

/**
 * The pace of a feed, in milliseconds.
 *
 * @property waitMillis how long a read waits at the log for news.
 * @property pauseMillis the pause between a read that found news and the next.
 */
public data class FeedTiming(public val waitMillis: Long, public val pauseMillis: Long)

/**
 * Records that another instance has read.
 *
 * @property fromOffset the offset of the first of [records].
 * @property ageMillis how long ago the read was sent that found them, or found no more.
 */
public data class RelayedRecords(
    public val fromOffset: Long,
    public val records: List<ByteArray>,
    public val ageMillis: Long
)

/** Follows [topic]; [split] divides a record into key and value. */
public class KeyedFeed(
    private val log: TopicLog,
    private val topic: String,
    private val pace: FeedTiming,
    private val split: (ByteArray) -> KeyedRecord?,
    private val listener: KeyedFeedListener,
    private val clock: Clock,
    private val random: RandomGenerator
) {
    private var isLost = false
    private var failures = 0

    /** When the last answered read was sent; what is known is no older than that. */
    public var knownAtMillis: Long = Long.MIN_VALUE
        private set

    /** Called when a read has found something. */
    public var onRead: () -> Unit = {}

    /** The offset after the last known record, null before the first read. */
    public var offset: Long? = null
        private set

    private val recent = ArrayDeque<TopicRecord>()
    private var relayedAtMillis = Long.MIN_VALUE / 2

    /** Follows the topic until it is cancelled. */
    public suspend fun run() {
        while (true) {
            val from = offset
            val leftMillis = relayedAtMillis + RELAY_FRESH_MILLIS - clock.monotonicMillis()
            when {
                from == null -> offset = readAll()
                leftMillis > 0 -> delay(leftMillis)
                else -> readOn(from)
            }
        }
    }

    /** Returns what was read from [fromOffset] on, null if that is not known any more. */
    public fun recordsSince(fromOffset: Long): RelayedRecords? {
        val end = offset ?: return null
        val isKnown =
            fromOffset == end || recent.firstOrNull()?.let { it.offset <= fromOffset } ?: false
        if (!isKnown || fromOffset > end) return null
        val records = recent.filter { it.offset >= fromOffset }.map { it.bytes }
        return RelayedRecords(fromOffset, records, clock.monotonicMillis() - knownAtMillis)
    }

    /** Takes in what the leader has read, as far as it follows what is known here. */
    public fun applyRelayed(news: RelayedRecords) {
        val from = offset ?: return
        val end = news.fromOffset + news.records.size
        if (news.fromOffset > from || end < from) return
        val readAtMillis = clock.monotonicMillis() - news.ageMillis
        relayedAtMillis = maxOf(relayedAtMillis, readAtMillis)
        knownAtMillis = maxOf(knownAtMillis, readAtMillis)
        news.records.drop((from - news.fromOffset).toInt()).forEachIndexed { index, bytes ->
            take(TopicRecord(from + index, bytes))
        }
        offset = end
    }

    private suspend fun readAll(): Long? {
        val sentMillis = clock.monotonicMillis()
        return when (val read = log.readNewest(topic)) {
            is NewestRead.Values -> {
                answered(sentMillis)
                listener.onSnapshot(read.values)
                read.endOffset
            }

            is NewestRead.Failed -> {
                failed(read.reason)
                null
            }
        }
    }

    private suspend fun readOn(from: Long) {
        val sentMillis = clock.monotonicMillis()
        val waitMillis = if (isLost) 0 else pace.waitMillis
        val read = log.read(topic, from, waitMillis)
        // News from the leader may have come in the meantime.
        if (offset != from) return
        when (read) {
            is TopicRead.Records -> {
                answered(sentMillis)
                read.records.forEach { take(it) }
                offset = from + read.records.size
                onRead()
                if (read.records.isNotEmpty()) delay(pace.pauseMillis)
            }

            is TopicRead.AgedOut -> {
                DecisionLog.record("feed_refold", "topic" to topic, "offset" to from)
                offset = null
            }

            is TopicRead.Failed -> failed(read.reason)
        }
    }

    private fun take(record: TopicRecord) {
        recent.addLast(record)
        if (recent.size > MAX_RECENT) recent.removeFirst()
        val keyed = split(record.bytes)
        if (keyed == null) {
            DecisionLog.record("record_unreadable", "topic" to topic, "offset" to record.offset)
        } else {
            listener.onChange(keyed.key, keyed.value)
        }
    }

    private fun answered(sentMillis: Long) {
        knownAtMillis = sentMillis
        failures = 0
        if (!isLost) return
        isLost = false
        DecisionLog.record("dependency_regained", "dependency" to topic)
        listener.onReconnected()
    }

    private suspend fun failed(reason: String) {
        if (!isLost) {
            isLost = true
            DecisionLog.record("dependency_lost", "dependency" to topic, "reason" to reason)
            listener.onDisconnected()
        }
        val base = FIRST_RETRY_MILLIS shl failures.coerceAtMost(MAX_DOUBLINGS)
        failures++
        delay(base + random.nextLong(base))
    }

    private companion object {
        /** Twice the pace of the leader's reads, and less than half of any bound on them. */
        const val RELAY_FRESH_MILLIS = 900L

        /** Records of some seconds, for instances that have just connected. */
        const val MAX_RECENT = 256

        /** Retries begin soon, since most failures are of one connection, and back off fourfold. */
        const val FIRST_RETRY_MILLIS = 80L
        const val MAX_DOUBLINGS = 2
    }
}
