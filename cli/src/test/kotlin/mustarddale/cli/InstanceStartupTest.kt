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

class InstanceStartupTest {
    @Test
    fun `an instance that starts while the log is down gets the state from its peers`() {
        TestStack(instanceCount = 3).use { stack ->
            stack.start()
            val logStandIn = LogStandIn(stack.sharedLog)
            logStandIn.faults = LogFaults(isDown = true)
            val extra = stack.startExtraInstance(logStandIn)
            extra.whenReady.get(30, TimeUnit.SECONDS)
            assertTrue(extra.isReady)
            logStandIn.close()
        }
    }

    @Test
    fun `an instance that starts after the first records were deleted reads a checkpoint`() {
        TestStack(instanceCount = 1).use { stack ->
            stack.start()
            val logStandIn = stack.logStandIns.single()
            val oldRecords = (1L..30L).map { encode(it, IntentOpened("i$it", "b", null)) }
            logStandIn.append(oldRecords)
            val checkpoint = ControlSnapshot.of(replayLog(stack)).toChunks(2_000)
            logStandIn.append(checkpoint.mapIndexed { index, chunk -> encode(100L + index, chunk) })
            logStandIn.faults = LogFaults(keptRecords = checkpoint.size + 3)
            logStandIn.append(listOf(encode(200, IntentOpened("behind", "b", null))))
            val extra = stack.startExtraInstance(LogStandIn(stack.sharedLog))
            extra.whenReady.get(30, TimeUnit.SECONDS)
            assertEquals(stack.instances[0].knownRevision, extra.knownRevision)
        }
    }

    private fun encode(sequence: Long, record: ControlRecord): String =
        ControlState.encode(Envelope(WriterId("test", "1"), sequence, record))

    private fun replayLog(stack: TestStack): ControlState {
        val replay = LogReplay()
        stack.sharedLog.snapshot().forEach(replay::add)
        return requireNotNull(replay.rebuildState())
    }
}
