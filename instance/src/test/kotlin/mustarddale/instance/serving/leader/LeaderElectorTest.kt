package mustarddale.instance.serving.leader

import java.util.random.RandomGenerator
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.instance.log.AppendResult
import mustarddale.instance.serving.feed.NewestRead
import mustarddale.instance.serving.feed.TopicLog
import mustarddale.instance.serving.feed.TopicRead
import mustarddale.instance.serving.feed.TopicRecord
import mustarddale.serving.leadership.LeaderRecord
import mustarddale.serving.leadership.LeadershipTerm
import mustarddale.time.SystemClock

/** Tests that an elected process starts its work, however it learns that it was elected. */
class LeaderElectorTest {
    /** What becomes of one append, in the order in which they arrive. */
    private enum class Fate { ANSWERED, ANSWER_LOST, LATE, LOST, ERA_BEGINS }

    /** A log whose first appends have the given [fates]; later ones are answered. */
    private class FakeLog(private val fates: List<Fate>) : TopicLog {
        override var era = 0L
        private val records = ArrayList<ByteArray>()
        private val late = ArrayList<ByteArray>()
        private var appends = 0

        override suspend fun read(topic: String, fromOffset: Long, waitMillis: Long): TopicRead {
            val found = records.drop(fromOffset.toInt())
                .mapIndexed { index, bytes -> TopicRecord(fromOffset + index, bytes) }
            return TopicRead.Records(found, records.size.toLong())
        }

        override suspend fun readLast(topic: String, count: Int, knownOffset: Long) =
            read(topic, (records.size - count).coerceAtLeast(0).toLong(), 0)

        override suspend fun readNewest(topic: String) = NewestRead.Failed("not keyed")

        override suspend fun appendAt(
            topic: String,
            atOffset: Long,
            record: ByteArray
        ): AppendResult {
            val fate = fates.getOrElse(appends++) { Fate.ANSWERED }
            if (fate == Fate.LATE) late += record
            if (fate == Fate.LATE || fate == Fate.LOST) return AppendResult.Unknown("no answer")
            late.removeFirstOrNull()?.let { if (atOffset == records.size.toLong()) records += it }
            if (atOffset != records.size.toLong()) return AppendResult.NotAppended("not the end")
            records += record
            if (fate == Fate.ERA_BEGINS) era++
            if (fate == Fate.ANSWER_LOST) return AppendResult.Unknown("no answer")
            return AppendResult.Appended(atOffset)
        }
    }

    private data class Case(val name: String, val fates: List<Fate>)

    /** Guards against a process that renews its leadership and does none of its work. */
    @Test
    fun `the work of a term starts once, however its first record is known to be in the log`() {
        val cases = listOf(
            Case("the answer arrives", listOf(Fate.ANSWERED)),
            Case("the answer is lost", listOf(Fate.ANSWER_LOST)),
            Case("the append is lost, then an answer", listOf(Fate.LOST, Fate.ANSWER_LOST)),
            Case("the append is late", listOf(Fate.LATE, Fate.ANSWERED)),
            Case("answers of renewals are lost", List(4) { Fate.ANSWER_LOST }),
            Case("an era begins at the append", listOf(Fate.ERA_BEGINS))
        )
        cases.forEach { case -> play(case) }
    }

    private fun play(case: Case): Unit = runBlocking {
        val self = LeaderRecord("a", "a-1", "127.0.0.1", 1)
        val elector =
            LeaderElector(FakeLog(case.fates), self, SystemClock, RandomGenerator.getDefault())
        val elected = ArrayList<LeadershipTerm>()
        val recordedTerms = ArrayList<Long>()
        elector.onElected = { elected += it }
        elector.onAppended = { recordedTerms += it.term }
        val running = launch { elector.run() }
        val term = withTimeoutOrNull(TIMEOUT_MILLIS) {
            while (elected.none { it.term == elector.ownTerm() }) delay(POLL_MILLIS)
            // Long enough for renewals.
            delay(RENEWALS_MILLIS)
            elector.ownTerm()
        }
        running.cancel()
        assertNotNull(term, "${case.name}: the process leads without its work")
        assertEquals(listOf(term), elected.map { it.term }.filter { it == term }, case.name)
        assertEquals(elected.map { it.term }.distinct(), elected.map { it.term }, case.name)
        assertEquals(true, term in recordedTerms, "${case.name}: renewals are reported")
    }

    private companion object {
        const val TIMEOUT_MILLIS = 6_000L
        const val RENEWALS_MILLIS = 1_200L
        const val POLL_MILLIS = 5L
    }
}
