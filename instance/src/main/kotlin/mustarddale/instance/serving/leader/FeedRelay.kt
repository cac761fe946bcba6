package mustarddale.instance.serving.leader

import mustarddale.instance.serving.feed.KeyedFeed
import mustarddale.instance.serving.feed.RelayedRecords

/** Finds the records of [feed] that one instance lacks; each is sent to it once. */
internal class FeedRelay(private val feed: KeyedFeed) {
    private var sentEndOffset: Long? = null
    private var sentEra = 0L

    /** Returns what to send to the instance at [reported], null if it has to read the log. */
    fun newsFor(reported: FeedPosition?): FeedNews? {
        if (sentEra != feed.era) sentEndOffset = null
        sentEra = feed.era
        val reportedOffset = reported?.takeIf { it.era == feed.era }?.offset
        val fromOffset = listOfNotNull(sentEndOffset, reportedOffset).maxOrNull() ?: return null
        val records = feed.recordsSince(fromOffset) ?: return null
        sentEndOffset = records.fromOffset + records.records.size
        return records.toMessage()
    }

    private fun RelayedRecords.toMessage() =
        FeedNews(fromOffset, records.map { RecordBytes(it) }, ageMillis, era)
}
