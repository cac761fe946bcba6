/*
 * Follows the newest records of a keyed topic: the whole state once, then each change. When history
 * has aged out, the whole state is read again; a gap is never skipped.
 */
package mustarddale.instance.serving.feed

import java.util.random.RandomGenerator
import kotlinx.coroutines.delay
import mustarddale.instance.serving.DecisionLog
import mustarddale.time.Clock

/** Takes in what a feed finds; called on the thread of the feed. */
public interface KeyedListener {
    /** Takes in the whole state. */
    public fun replaced(values: Map<String, ByteArray>)

    /** Takes in a new value of [key], null if it was removed. */
    public fun changed(key: String, value: ByteArray?)

    /** The log has fallen silent. */
    public fun lost()

    /** The log answers again. */
    public fun regained()
}

/** A record's key and value, null if the key is removed. */
public data class KeyedRecord(public val key: String, public val value: ByteArray?)

/**
 * The pace of a feed, in milliseconds.
 *
 * @property waitMillis how long a read waits at the log for news.
 * @property pauseMillis the pause between a read that found news and the next.
 */
public data class FeedPace(public val waitMillis: Long, public val pauseMillis: Long)

/** Follows [topic]; [split] divides a record into key and value. */
public class KeyedFeed(
    private val log: TopicLog,
    private val topic: String,
    private val pace: FeedPace,
    private val split: (ByteArray) -> KeyedRecord?,
    private val listener: KeyedListener,
    private val clock: Clock,
    private val random: RandomGenerator
) {
    private var isLost = false
    private var failures = 0

    /** When the last answered read was sent; what is known is no older than that. */
    public var knownAtMillis: Long = Long.MIN_VALUE
        private set

    /** Follows the topic until it is cancelled. */
    public suspend fun run() {
        var offset: Long? = null
        while (true) {
            val from = offset
            offset = if (from == null) readAll() else readOn(from)
        }
    }

    private suspend fun readAll(): Long? {
        val sentMillis = clock.monotonicMillis()
        return when (val read = log.newest(topic)) {
            is NewestRead.Values -> {
                answered(sentMillis)
                listener.replaced(read.values)
                read.endOffset
            }

            is NewestRead.Failed -> {
                failed(read.reason)
                null
            }
        }
    }

    private suspend fun readOn(from: Long): Long? {
        val sentMillis = clock.monotonicMillis()
        val waitMillis = if (isLost) 0 else pace.waitMillis
        return when (val read = log.read(topic, from, waitMillis)) {
            is TopicRead.Records -> {
                answered(sentMillis)
                read.records.forEach { take(it) }
                if (read.records.isNotEmpty()) delay(pace.pauseMillis)
                read.records.lastOrNull()?.let { it.offset + 1 } ?: from
            }

            is TopicRead.AgedOut -> {
                DecisionLog.record("feed_refold", "topic" to topic, "offset" to from)
                null
            }

            is TopicRead.Failed -> {
                failed(read.reason)
                from
            }
        }
    }

    private fun take(record: TopicRecord) {
        val keyed = split(record.bytes)
        if (keyed == null) {
            DecisionLog.record("record_unreadable", "topic" to topic, "offset" to record.offset)
        } else {
            listener.changed(keyed.key, keyed.value)
        }
    }

    private fun answered(sentMillis: Long) {
        knownAtMillis = sentMillis
        failures = 0
        if (!isLost) return
        isLost = false
        DecisionLog.record("dependency_regained", "dependency" to topic)
        listener.regained()
    }

    private suspend fun failed(reason: String) {
        if (!isLost) {
            isLost = true
            DecisionLog.record("dependency_lost", "dependency" to topic, "reason" to reason)
            listener.lost()
        }
        val base = FIRST_RETRY_MILLIS shl failures.coerceAtMost(MAX_DOUBLINGS)
        failures++
        delay(base + random.nextLong(base))
    }

    private companion object {
        /** Retries begin soon, since most failures are of one connection, and back off fourfold. */
        const val FIRST_RETRY_MILLIS = 80L
        const val MAX_DOUBLINGS = 2
    }
}
