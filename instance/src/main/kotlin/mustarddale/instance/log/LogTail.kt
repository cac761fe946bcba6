/*
 * Follows the log. A new instance first reads from the oldest record that the log has until it has
 * passed the end as it was at its start; a reader that fell behind the log's retention does so too.
 */
package mustarddale.instance.log

import java.util.concurrent.atomic.AtomicLong
import mustarddale.control.LogReplay
import mustarddale.freshness.StateFreshness
import mustarddale.instance.duty.PeriodicDuty
import mustarddale.time.Clock
import org.slf4j.LoggerFactory

/** Reads records from [client] into [store]. */
public class LogTail(
    private val client: LogClient,
    private val store: ControlStore,
    private val clock: Clock
) : AutoCloseable {
    private val lastReadMillis = AtomicLong(StateFreshness.NEVER)
    private var hasStarted = false
    private var nextOffset = 0L
    private val duty = PeriodicDuty("log-tail", RETRY_MILLIS) { follow() }

    /** When the last read that the log answered was sent, on the monotonic clock. */
    public val lastReadSentMillis: Long get() = lastReadMillis.get()

    override fun close() {
        duty.close()
    }

    private fun follow() {
        if (!hasStarted) {
            hasStarted = replay(fromOffset = 0)
            return
        }
        while (true) {
            nextOffset = maxOf(nextOffset, store.state.nextOffset)
            val sentMillis = clock.monotonicMillis()
            when (val result = client.read(nextOffset, WAIT_MILLIS)) {
                is ReadResult.Read -> take(result, sentMillis)

                is ReadResult.AgedOut -> {
                    log.warn("offset {} has aged out; reading a checkpoint", nextOffset)
                    replay(result.firstOffset)
                    return
                }

                is ReadResult.Failed -> {
                    log.warn("cannot read the log: {}", result.reason)
                    return
                }
            }
        }
    }

    private fun take(result: ReadResult.Read, sentMillis: Long) {
        if (result.endOffset <= nextOffset + result.records.size) lastReadMillis.set(sentMillis)
        if (result.records.isEmpty()) {
            nextOffset = store.state.nextOffset
            return
        }
        if (store.offer(result.records)) nextOffset = result.records.last().offset + 1
    }

    private fun replay(fromOffset: Long): Boolean {
        val replay = LogReplay()
        var from = fromOffset
        var endOffset = -1L
        while (endOffset < 0 || from < endOffset) {
            when (val result = client.read(from, 0)) {
                is ReadResult.Read -> {
                    if (endOffset < 0) endOffset = result.endOffset
                    result.records.forEach(replay::add)
                    from = result.records.lastOrNull()?.let { it.offset + 1 } ?: endOffset
                }

                is ReadResult.AgedOut -> return replay(result.firstOffset)

                is ReadResult.Failed -> return false
            }
        }
        val state = replay.rebuildState()
        if (state == null) {
            log.error("the log has neither its first record nor a whole checkpoint")
            return false
        }
        val whole = replay.completeLog()
        if (whole == null) store.offer(state) else store.offer(whole)
        nextOffset = state.nextOffset
        return true
    }

    private companion object {
        const val RETRY_MILLIS = 200L
        const val WAIT_MILLIS = 1_000L
        val log = LoggerFactory.getLogger(LogTail::class.java)
    }
}
