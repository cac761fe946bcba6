package mustarddale.instance.serving

import java.util.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import mustarddale.instance.log.AppendResult
import mustarddale.instance.serving.feed.FeedTiming
import mustarddale.instance.serving.feed.KeyedFeed
import mustarddale.instance.serving.feed.KeyedFeedListener
import mustarddale.instance.serving.feed.KeyedRecord
import mustarddale.instance.serving.feed.NewestRead
import mustarddale.instance.serving.feed.RelayedRecords
import mustarddale.instance.serving.feed.TopicLog
import mustarddale.instance.serving.feed.TopicRead
import mustarddale.instance.serving.feed.TopicRecord
import mustarddale.time.Clock

class KeyedFeedTest {
    /** Answers reads from a script, then lets them wait. */
    private class Script(private vararg val answers: Any) : TopicLog {
        private val left = ArrayDeque(answers.toList())

        override suspend fun read(topic: String, fromOffset: Long, waitMillis: Long): TopicRead =
            if (left.firstOrNull() is TopicRead) left.removeFirst() as TopicRead else never()

        override suspend fun readNewest(topic: String): NewestRead =
            if (left.firstOrNull() is NewestRead) left.removeFirst() as NewestRead else never()

        override suspend fun appendAt(
            topic: String,
            atOffset: Long,
            record: ByteArray
        ): AppendResult = never()

        private suspend fun never(): Nothing = awaitCancellation()
    }

    private class Seen : KeyedFeedListener {
        val events = ArrayList<String>()

        override fun onSnapshot(values: Map<String, ByteArray>) {
            events.add("all " + values.entries.joinToString { it.key + "=" + String(it.value) })
        }

        override fun onChange(key: String, value: ByteArray?) {
            events.add(key + "=" + value?.let { String(it) })
        }

        override fun onDisconnected() {
            events.add("lost")
        }

        override fun onReconnected() {
            events.add("regained")
        }
    }

    private object StillClock : Clock {
        override fun monotonicMillis() = 1_000L

        override fun wallMillis() = 1_000L
    }

    private val seen = Seen()

    private fun feed(vararg answers: Any) = KeyedFeed(
        Script(*answers),
        "topic",
        FeedTiming(waitMillis = 0, pauseMillis = 0),
        { bytes ->
            val (key, value) = (String(bytes) + "=").split('=')
            KeyedRecord(key, value.toByteArray().takeIf { it.isNotEmpty() })
        },
        seen,
        StillClock,
        Random(1)
    )

    /** Runs [feed] until its script is used up. */
    private fun play(feed: KeyedFeed) = runBlocking(Dispatchers.Unconfined) {
        val job = launch(start = CoroutineStart.UNDISPATCHED) { feed.run() }
        job.cancel()
    }

    private fun records(from: Long, vararg texts: String) = TopicRead.Records(
        texts.mapIndexed { index, text -> TopicRecord(from + index, text.toByteArray()) },
        from + texts.size
    )

    private val start = NewestRead.Values(mapOf("x" to "1".toByteArray()), endOffset = 5)

    @Test
    fun `the whole state once, then each change`() {
        val feed = feed(start, records(5, "x=2", "y=3", "x"))
        play(feed)
        assertEquals(listOf("all x=1", "x=2", "y=3", "x=null"), seen.events)
        assertEquals(8, feed.offset)
    }

    @Test
    fun `history that aged out is read anew`() {
        play(feed(start, TopicRead.AgedOut(9), NewestRead.Values(emptyMap(), 12)))
        assertEquals(listOf("all x=1", "all "), seen.events)
    }

    private data class Case(
        val name: String,
        val news: RelayedRecords,
        val events: List<String>,
        val offset: Long
    )

    @Test
    fun `news from the leader`() {
        fun news(from: Long, vararg texts: String) =
            RelayedRecords(from, texts.map { it.toByteArray() }, ageMillis = 10)

        listOf(
            Case("that follow", news(5, "x=2"), listOf("x=2"), 6),
            Case("that overlap", news(3, "a=1", "b=1", "x=2"), listOf("x=2"), 6),
            Case("that are old", news(3, "a=1"), emptyList(), 5),
            Case("with a gap", news(6, "x=2"), emptyList(), 5),
            Case("that nothing has changed", news(5), emptyList(), 5)
        ).forEach { case ->
            seen.events.clear()
            val feed = feed(start)
            play(feed)
            seen.events.clear()
            feed.applyRelayed(case.news)
            assertEquals(case.events, seen.events, case.name)
            assertEquals(case.offset, feed.offset, case.name)
        }
    }

    @Test
    fun `what the leader can pass on`() {
        val feed = feed(start, records(5, "x=2", "y=3"))
        play(feed)
        assertEquals(listOf("y=3"), feed.recordsSince(6)?.records?.map { String(it) })
        assertEquals(emptyList(), feed.recordsSince(7)?.records)
        assertNull(feed.recordsSince(3), "older records are not kept")
        assertNull(feed.recordsSince(8), "the other end knows more")
    }
}
