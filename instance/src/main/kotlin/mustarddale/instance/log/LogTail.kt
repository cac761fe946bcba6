/*
 * Follows the log. On startup, and whenever the next record has aged out, it replays the log from
 * its oldest record up to the end offset seen by the first read of the replay.
 */
package mustarddale.instance.log

import java.util.concurrent.atomic.AtomicLong
import mustarddale.control.LogReplay
import mustarddale.freshness.StateFreshness
import mustarddale.instance.duty.PeriodicDuty
import mustarddale.time.Clock
import org.slf4j.LoggerFactory

/** Reads records from [client] into [store] on its own thread. */
public class LogTail(
    private val client: LogClient,
    private val store: ControlStore,
    private val clock: Clock
) : AutoCloseable {
    private val lastReadMillis = AtomicLong(StateFreshness.NEVER)
    private var hasReplayed = false
    private var nextOffset = 0L
    private val duty = PeriodicDuty("log-tail", RETRY_DELAY_MILLIS) { follow() }

    /** Monotonic time at which the last read that reached the end of the log was sent. */
    public val lastReadSentMillis: Long get() = lastReadMillis.get()

    override fun close() {
        duty.close()
    }

    private fun follow() {
        if (!hasReplayed) {
            hasReplayed = replay(fromOffset = 0)
            return
        }
        while (true) {
            nextOffset = maxOf(nextOffset, store.state.nextOffset)
            val sentMillis = clock.monotonicMillis()
            when (val result = client.read(nextOffset, READ_WAIT_MILLIS)) {
                is ReadResult.Read -> handleRead(result, sentMillis)

                is ReadResult.AgedOut -> {
                    log.warn("offset {} has aged out; replaying the log", nextOffset)
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

    private fun handleRead(result: ReadResult.Read, sentMillis: Long) {
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
            log.error("the log contains neither its first record nor a complete checkpoint")
            return false
        }
        val completeLog = replay.completeLog()
        if (completeLog == null) store.offer(state) else store.offer(completeLog)
        nextOffset = state.nextOffset
        return true
    }

    private companion object {
        const val RETRY_DELAY_MILLIS = 200L
        const val READ_WAIT_MILLIS = 1_000L
        val log = LoggerFactory.getLogger(LogTail::class.java)
    }
}
