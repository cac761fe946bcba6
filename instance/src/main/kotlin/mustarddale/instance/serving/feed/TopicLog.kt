/*
 * The platform's log service with topics. Every call has its own time limit and never throws for an
 * outage: what is known of the outcome is in the result.
 */
package mustarddale.instance.serving.feed

import mustarddale.instance.log.AppendResult

/** A record of a topic's partition. */
public class TopicRecord(public val offset: Long, public val bytes: ByteArray)

/** The outcome of a read of a partition. */
public sealed interface TopicRead {
    /** Records in offset order; [endOffset] is where the partition ended. */
    public data class Records(public val records: List<TopicRecord>, public val endOffset: Long) :
        TopicRead

    /** The offset has aged out; the partition now starts at [firstOffset]. */
    public data class AgedOut(public val firstOffset: Long) : TopicRead

    /** The log gave no answer. */
    public data class Failed(public val reason: String) : TopicRead
}

/** The outcome of a read of the newest record of each key. */
public sealed interface NewestRead {
    /** The newest values; the partition ended at [endOffset] before the first page was read. */
    public data class Values(
        public val values: Map<String, ByteArray>,
        public val endOffset: Long
    ) : NewestRead

    /** The log gave no answer. */
    public data class Failed(public val reason: String) : NewestRead
}

/** The topics of the platform's log. */
public interface TopicLog {
    /** Reads [topic] from [fromOffset] on, and waits up to [waitMillis] if there is nothing yet. */
    public suspend fun read(topic: String, fromOffset: Long, waitMillis: Long): TopicRead

    /** Reads the newest value of each key of a keyed [topic]. */
    public suspend fun readNewest(topic: String): NewestRead

    /** Appends [record] to [topic] if it still ends at [atOffset]. */
    public suspend fun appendAt(topic: String, atOffset: Long, record: ByteArray): AppendResult
}
