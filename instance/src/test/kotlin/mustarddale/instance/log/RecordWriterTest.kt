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
    private val intentOpened = IntentOpened("i", "body", null)

    private fun <T> withWriter(client: LogClient, block: (ControlStore, RecordWriter) -> T): T {
        val store = ControlStore()
        val tail = LogTail(client, store, SystemClock)
        val writer = RecordWriter(WriterId("i1", "run"), client, SystemClock, store)
        try {
            return block(store, writer)
        } finally {
            listOf(writer, tail, store).forEach { it.close() }
        }
    }

    private val faultScripts = listOf(
        "no fault" to emptyList(),
        "refused, then accepted" to listOf(Fault.REFUSED),
        "request lost" to listOf(Fault.REQUEST_LOST),
        "response lost after the append" to listOf(Fault.RESPONSE_LOST),
        "response lost three times" to List(3) { Fault.RESPONSE_LOST },
        "appended twice" to listOf(Fault.APPENDED_TWICE)
    )

    @TestFactory
    fun `a record takes effect once and its writer learns the outcome`(): List<DynamicTest> =
        faultScripts.map { (name, faults) ->
            DynamicTest.dynamicTest(name) {
                withWriter(FakeLogClient(ArrayDeque(faults))) { store, writer ->
                    val outcome = writer.append(intentOpened, 20_000).get(20, TimeUnit.SECONDS)
                    assertEquals(
                        RecordStatus.Accepted,
                        assertIs<WriteOutcome.Written>(outcome).status
                    )
                    val again = writer.append(intentOpened, 20_000).get(20, TimeUnit.SECONDS)
                    val status = assertIs<WriteOutcome.Written>(again).status
                    val refusal = assertIs<RecordStatus.Rejected>(status).refusal
                    assertEquals(ErrorKind.IDEMPOTENCY_IN_PROGRESS, refusal.kind)
                    assertEquals(1, store.state.intents.size)
                }
            }
        }

    @Test
    fun `a closed writer does not append records`() {
        val outcome = withWriter(FakeLogClient()) { _, writer ->
            writer.close()
            writer.append(intentOpened, 20_000).get(20, TimeUnit.SECONDS)
        }
        assertEquals(WriteOutcome.NotWritten, outcome)
    }
}
