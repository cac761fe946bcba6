/*
 * Reads and appends the records of the leadership log. Each is as long as the list of instances,
 * and all that the log retains do not fit into a call over a slow link, so only those at its end
 * are read.
 */
package mustarddale.instance.serving.leader

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import mustarddale.instance.log.AppendResult
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.feed.TopicLog
import mustarddale.instance.serving.feed.TopicRead
import mustarddale.instance.serving.feed.TopicRecord
import mustarddale.serving.leadership.LeaderLogEntry
import mustarddale.serving.leadership.LeaderRecord
import mustarddale.time.Clock

/** The leadership records in [log]; confined to one thread. */
internal class LeadershipRecords(private val log: TopicLog, private val clock: Clock) {
    private var readAtMillis = Long.MIN_VALUE / 2

    /**
     * Reads from [offset] on, or the newest record alone if the last read was too long ago; 0 if no
     * offset is known.
     */
    suspend fun read(offset: Long): TopicRead {
        val sentMillis = clock.monotonicMillis()
        val isRecent = offset > 0 && sentMillis - readAtMillis < RECENT_READ_MILLIS
        val read = if (isRecent) readFrom(offset) else readEnd(offset)
        val tookMillis = clock.monotonicMillis() - sentMillis
        if (read is TopicRead.Records) {
            readAtMillis = sentMillis
            logLong(read, tookMillis)
        } else {
            DecisionLog.record("leadership_unread", "outcome" to read, "tookMillis" to tookMillis)
        }
        return read
    }

    private suspend fun readFrom(offset: Long): TopicRead {
        val read = log.read(TOPIC, offset, waitMillis = 0)
        return if (read is TopicRead.AgedOut) readEnd(read.firstOffset) else read
    }

    private suspend fun readEnd(knownOffset: Long): TopicRead {
        val last = log.readLast(TOPIC, 1, knownOffset)
        val record = (last as? TopicRead.Records)?.records?.lastOrNull() ?: return last
        if (decode(record)?.record?.era == log.era) return last
        // Appends of an earlier era may have reached the log after newer records.
        return log.readLast(TOPIC, MAX_LATE_APPENDS, record.offset)
    }

    private fun logLong(read: TopicRead.Records, tookMillis: Long) {
        if (read.records.size < LOGGED_READ_RECORDS) return
        DecisionLog.record(
            "leadership_read",
            "records" to read.records.size,
            "bytes" to read.records.sumOf { it.bytes.size },
            "end" to read.endOffset,
            "tookMillis" to tookMillis
        )
    }

    /** Decodes those of [records] that may be the newest: the last one back to one of the era. */
    fun newestOf(records: List<TopicRecord>): List<LeaderLogEntry> {
        val decoded = records.asReversed().asSequence().mapNotNull { decode(it) }
        val newest = decoded.firstOrNull { it.record.era == log.era }
        return if (newest != null) listOf(newest) else decoded.toList()
    }

    /** Appends [record] only if it would get the offset [atOffset]. */
    suspend fun append(record: LeaderRecord, atOffset: Long): AppendResult {
        val text = Json.encodeToString(LeaderRecord.serializer(), record)
        return log.appendAt(TOPIC, atOffset, text.toByteArray())
    }

    private fun decode(record: TopicRecord): LeaderLogEntry? = try {
        val text = String(record.bytes, Charsets.UTF_8)
        LeaderLogEntry(record.offset, json.decodeFromString(LeaderRecord.serializer(), text))
    } catch (e: SerializationException) {
        DecisionLog.record("record_unreadable", "topic" to TOPIC, "error" to e.toString())
        null
    }

    private companion object {
        const val TOPIC = "leadership"

        /** Instances of a newer build write fields that this one does not know. */
        val json = Json { ignoreUnknownKeys = true }

        /** A few renewals take place in this time. */
        const val RECENT_READ_MILLIS = 2_000L

        /** Reads of fewer records are those of renewals and elections. */
        const val LOGGED_READ_RECORDS = 8

        /** More than the appends without an answer at the end of an era. */
        const val MAX_LATE_APPENDS = 16
    }
}
