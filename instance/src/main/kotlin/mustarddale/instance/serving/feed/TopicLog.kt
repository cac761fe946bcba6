/*
 * The platform's log service with topics. Each call has its own timeout and does not throw when the
 * log fails: the result says what is known of the outcome.
 */
package mustarddale.instance.serving.feed

import mustarddale.instance.log.AppendResult

/** A record of a topic's partition, with its [offset] there. */
public class TopicRecord(public val offset: Long, public val bytes: ByteArray)

/** The outcome of a read of a partition. */
public sealed interface TopicRead {
    /** Records in offset order, maybe not all; the partition ended before [endOffset]. */
    public data class Records(public val records: List<TopicRecord>, public val endOffset: Long) :
        TopicRead {
        /** The offset from which to read on. */
        public val nextOffset: Long get() = records.lastOrNull()?.let { it.offset + 1 } ?: endOffset

        /** Whether there were no records after these. */
        public val isComplete: Boolean get() = nextOffset >= endOffset
    }

    /** The log has deleted the record at the offset; the partition now starts at [firstOffset]. */
    public data class AgedOut(public val firstOffset: Long) : TopicRead

    /** The log did not respond or refused the read. */
    public data class Failed(public val reason: String) : TopicRead
}

/** The outcome of a read of the newest value of each key. */
public sealed interface NewestRead {
    /** Values by key; the partition ended before [endOffset] when the first page was read. */
    public data class Values(
        public val values: Map<String, ByteArray>,
        public val endOffset: Long
    ) : NewestRead

    /** The log did not respond or refused the read. */
    public data class Failed(public val reason: String) : NewestRead
}

/** The topics of the platform's log. */
public interface TopicLog {
    /**
     * The highest era in any answer of the log. It rises when the log returns from an older copy:
     * records may be lost since, and their offsets given out again.
     */
    public val era: Long

    /** Reads [topic] from [fromOffset] on; waits up to [waitMillis] for a record if none exists. */
    public suspend fun read(topic: String, fromOffset: Long, waitMillis: Long): TopicRead

    /**
     * Reads the last [count] records of [topic], however many the log holds. A [knownOffset] that
     * the log still retains saves a call.
     */
    public suspend fun readLast(topic: String, count: Int, knownOffset: Long): TopicRead

    /** Reads the newest value of each key of a keyed [topic]. */
    public suspend fun readNewest(topic: String): NewestRead

    /** Appends [record] to [topic] only if it would get the offset [atOffset]. */
    public suspend fun appendAt(topic: String, atOffset: Long, record: ByteArray): AppendResult
}
