package mustarddale.cli

import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import mustarddale.control.ControlRecord
import mustarddale.control.ControlRecord.IntentOpened
import mustarddale.control.ControlSnapshot
import mustarddale.control.ControlState
import mustarddale.control.Envelope
import mustarddale.control.LogReplay
import mustarddale.control.WriterId
import mustarddale.standin.LogFaults
import mustarddale.standin.LogStandIn

class JoinTest {
    @Test
    fun `an instance that starts while the log is down learns the state from its peers`() {
        TestStack(instanceCount = 3).use { stack ->
            stack.start()
            val front = LogStandIn(stack.content)
            front.faults = LogFaults(isDown = true)
            val late = stack.join(front)
            late.whenReady.get(30, TimeUnit.SECONDS)
            assertTrue(late.isReady)
            front.close()
        }
    }

    @Test
    fun `an instance that starts after the first records aged out reads a checkpoint`() {
        TestStack(instanceCount = 1).use { stack ->
            stack.start()
            val front = stack.fronts.single()
            val before = (1L..30L).map { encode(it, IntentOpened("i$it", "b", null)) }
            front.append(before)
            val state = ControlSnapshot.of(replayOf(stack)).toChunks(2_000)
            front.append(state.mapIndexed { at, chunk -> encode(100L + at, chunk) })
            front.faults = LogFaults(keptRecords = state.size + 3)
            front.append(listOf(encode(200, IntentOpened("behind", "b", null))))
            val late = stack.join(LogStandIn(stack.content))
            late.whenReady.get(30, TimeUnit.SECONDS)
            assertEquals(stack.instances[0].knownRevision, late.knownRevision)
        }
    }

    private fun encode(sequence: Long, record: ControlRecord): String =
        ControlState.encode(Envelope(WriterId("test", "1"), sequence, record))

    private fun replayOf(stack: TestStack): ControlState {
        val replay = LogReplay()
        stack.content.snapshot().forEach(replay::add)
        return requireNotNull(replay.rebuildState())
    }
}
