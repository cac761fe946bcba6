package mustarddale.control

import java.util.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import mustarddale.config.ApiKey
import mustarddale.config.ConfigurationChange.IssueKey
import mustarddale.control.ControlRecord.IntentOpened
import mustarddale.key.Sha256
import net.jqwik.api.AfterFailureMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode

class LogReplayTest {
    private fun logWithChanges(changes: Int): FakeLog {
        val log = FakeLog()
        log.append(Fixtures.firstWriter, Fixtures.replaceProposed())
        repeat(changes) {
            log.nowMillis += 1_000
            val key = ApiKey("k$it", Sha256.of("k$it"))
            log.append(Fixtures.firstWriter, Fixtures.changeProposed(IssueKey("yard", key)))
            log.append(Fixtures.secondWriter, IntentOpened("i$it", "body", null))
        }
        return log
    }

    private fun FakeLog.checkpoint(chunkChars: Int): List<LogRecord> =
        ControlSnapshot.of(fold()).toChunks(chunkChars).map { append(Fixtures.secondWriter, it) }

    private fun replay(records: List<LogRecord>): ControlState? =
        LogReplay().apply { records.forEach(::add) }.rebuildState()

    private fun assertSame(expected: ControlState, actual: ControlState?) {
        assertNotNull(actual)
        assertEquals(expected.revision, actual.revision)
        assertEquals(expected.nextOffset, actual.nextOffset)
        assertEquals(expected.index.configuration, actual.index.configuration)
        assertEquals(expected.intents.entries(), actual.intents.entries())
        assertEquals(expected.writers, actual.writers)
        assertEquals(expected.audit.toList(), actual.audit.toList())
    }

    @Test
    fun `a checkpoint and the records after it give the same state as the complete log`() {
        val log = logWithChanges(30)
        val chunks = log.checkpoint(1_000)
        log.append(Fixtures.firstWriter, IntentOpened("behind", "body", null))
        assertSame(log.fold(), replay(log.records.drop(chunks.first().offset.toInt())))
    }

    @Test
    fun `an incomplete checkpoint is ignored`() {
        val log = logWithChanges(10)
        val complete = log.checkpoint(1_000)
        val incomplete = log.checkpoint(1_000)
        log.records.removeAll(incomplete.drop(1))
        val retained = log.records.drop(complete.first().offset.toInt())
        assertSame(log.fold(), replay(retained))
    }

    @Test
    fun `without the first record or a complete checkpoint there is no state`() {
        val log = logWithChanges(10)
        log.checkpoint(1_000)
        assertNull(replay(log.records.drop(5).dropLast(1)))
    }

    @Property(
        seed = "20261204",
        tries = 150,
        shrinking = ShrinkingMode.OFF,
        afterFailure = AfterFailureMode.RANDOM_SEED
    )
    fun `replay from any offset gives the complete state or none`(@ForAll seed: Long) {
        val random = Random(seed)
        val log = logWithChanges(1 + random.nextInt(12))
        repeat(random.nextInt(3)) {
            log.checkpoint(300 + random.nextInt(3_000))
            log.append(Fixtures.secondWriter, IntentOpened("c$it", "body", null))
        }
        val start = random.nextInt(log.records.size)
        val state = replay(log.records.drop(start))
        if (state != null) assertSame(log.fold(), state)
        if (start == 0) assertNotNull(state)
    }
}
