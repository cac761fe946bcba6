/*
 * Appends a checkpoint of the replicated control state to the log well before the records that it
 * replaces age out. Usually one instance writes checkpoints; if two write at once, both checkpoints
 * are complete and valid.
 */
package mustarddale.instance.log

import mustarddale.control.ControlSnapshot
import mustarddale.control.ControlState
import mustarddale.instance.duty.PeriodicDuty
import org.slf4j.LoggerFactory

/** Writes checkpoints while [isCheckpointer] reports that this instance is responsible for them. */
public class CheckpointDuty(
    private val store: ControlStore,
    private val recordWriter: RecordWriter,
    private val isCheckpointer: () -> Boolean
) : AutoCloseable {
    private val duty = PeriodicDuty("checkpoint", INTERVAL_MILLIS, ::writeIfDue)

    override fun close() {
        duty.close()
    }

    private fun writeIfDue() {
        val state = store.state
        if (!isDue(state) || !isCheckpointer()) return
        val chunks = ControlSnapshot.of(state).toChunks()
        log.info("writing checkpoint through offset {} in {} chunks", state.nextOffset, chunks.size)
        chunks.map { recordWriter.append(it, APPEND_TIMEOUT_MILLIS) }.forEach { it.join() }
    }

    private fun isDue(state: ControlState): Boolean {
        val backlog = state.nextOffset - state.checkpointOffset
        val ageMillis = state.lastAppendedAtMillis - state.checkpointAtMillis
        return backlog >= MAX_RECORDS || (backlog >= MIN_RECORDS && ageMillis >= MAX_AGE_MILLIS)
    }

    private companion object {
        const val INTERVAL_MILLIS = 1_000L
        const val APPEND_TIMEOUT_MILLIS = 10_000L
        const val MAX_RECORDS = 1_000L
        const val MIN_RECORDS = 20L
        const val MAX_AGE_MILLIS = 10 * 60_000L
        val log = LoggerFactory.getLogger(CheckpointDuty::class.java)
    }
}
