/*
 * Writes a checkpoint of the agreed state into the log well before the records that it replaces age
 * out. One instance does it; should two do it at once, both checkpoints are whole.
 */
package mustarddale.instance.log

import mustarddale.control.ControlSnapshot
import mustarddale.control.ControlState
import mustarddale.instance.duty.PeriodicDuty
import org.slf4j.LoggerFactory

/** Writes checkpoints while [isOurs] says that it is this instance's turn. */
public class CheckpointDuty(
    private val store: ControlStore,
    private val records: RecordWriter,
    private val isOurs: () -> Boolean
) : AutoCloseable {
    private val duty = PeriodicDuty("checkpoint", INTERVAL_MILLIS, ::tick)

    override fun close() {
        duty.close()
    }

    private fun tick() {
        val state = store.state
        if (!isDue(state) || !isOurs()) return
        val chunks = ControlSnapshot.of(state).toChunks()
        log.info("checkpoint through {} in {} chunks", state.nextOffset, chunks.size)
        chunks.map { records.append(it, TIMEOUT_MILLIS) }.forEach { it.join() }
    }

    private fun isDue(state: ControlState): Boolean {
        val behind = state.nextOffset - state.checkpointOffset
        val ageMillis = state.lastAppendedAtMillis - state.checkpointAtMillis
        return behind >= MOST_RECORDS || (behind >= LEAST_RECORDS && ageMillis >= MOST_MILLIS)
    }

    private companion object {
        const val INTERVAL_MILLIS = 1_000L
        const val TIMEOUT_MILLIS = 10_000L
        const val MOST_RECORDS = 1_000L
        const val LEAST_RECORDS = 20L
        const val MOST_MILLIS = 10 * 60_000L
        val log = LoggerFactory.getLogger(CheckpointDuty::class.java)
    }
}
