package mustarddale.instance.log

import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import mustarddale.control.ControlRecord.IntentOpened
import mustarddale.control.RecordStatus
import mustarddale.control.WriterId
import mustarddale.error.ErrorKind
import mustarddale.instance.log.FakeLogClient.Fault
import mustarddale.time.SystemClock
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class RecordWriterTest {
    private val open = IntentOpened("i", "body", null)

    private fun <T> writing(client: LogClient, work: (ControlStore, RecordWriter) -> T): T {
        val store = ControlStore()
        val tail = LogTail(client, store, SystemClock)
        val writer = RecordWriter(WriterId("i1", "run"), client, SystemClock, store)
        try {
            return work(store, writer)
        } finally {
            listOf(writer, tail, store).forEach { it.close() }
        }
    }

    private val rows = listOf(
        "no fault" to emptyList(),
        "refused, then taken" to listOf(Fault.REFUSED),
        "lost on the way" to listOf(Fault.LOST_BEFORE),
        "answer lost after it took effect" to listOf(Fault.LOST_AFTER),
        "answers lost again and again" to List(3) { Fault.LOST_AFTER },
        "landed twice" to listOf(Fault.LANDED_TWICE)
    )

    @TestFactory
    fun `a record takes effect once and its writer learns of it`(): List<DynamicTest> =
        rows.map { (name, faults) ->
            DynamicTest.dynamicTest(name) {
                writing(FakeLogClient(ArrayDeque(faults))) { store, writer ->
                    val outcome = writer.append(open, 20_000).get(20, TimeUnit.SECONDS)
                    assertEquals(
                        RecordStatus.Accepted,
                        assertIs<WriteOutcome.Written>(outcome).status
                    )
                    val again = writer.append(open, 20_000).get(20, TimeUnit.SECONDS)
                    val verdict = assertIs<WriteOutcome.Written>(again).status
                    val refusal = assertIs<RecordStatus.Rejected>(verdict).refusal
                    assertEquals(ErrorKind.IDEMPOTENCY_IN_PROGRESS, refusal.kind)
                    assertEquals(1, store.state.intents.size)
                }
            }
        }

    @Test
    fun `a writer that has ended takes nothing more`() {
        val outcome = writing(FakeLogClient()) { _, writer ->
            writer.close()
            writer.append(open, 20_000).get(20, TimeUnit.SECONDS)
        }
        assertEquals(WriteOutcome.NotWritten, outcome)
    }
}
