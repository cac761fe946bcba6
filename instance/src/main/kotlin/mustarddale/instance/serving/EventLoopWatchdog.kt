/*
 * Logs whether the event loop is blocked or the whole process has been paused. All decisions run on
 * the event loop, so while it is blocked nothing else is logged. The watchdog's own thread compares
 * the time of the loop's last tick with its own sleeps.
 */
package mustarddale.instance.serving

import kotlin.concurrent.thread
import mustarddale.time.Clock

/** Watches the event loop, whose [tick] is called every few hundred milliseconds. */
internal class EventLoopWatchdog(private val clock: Clock) : AutoCloseable {
    @Volatile
    private var lastTickMillis = clock.monotonicMillis()

    @Volatile
    private var loopThread: Thread? = null

    private val watcher = thread(start = false, isDaemon = true, name = "watchdog") { watch() }

    /** Starts watching. */
    fun start() {
        watcher.start()
    }

    /** Records that the event loop, on whose thread this is called, is running. */
    fun tick() {
        loopThread = Thread.currentThread()
        val nowMillis = clock.monotonicMillis()
        val gapMillis = nowMillis - lastTickMillis
        lastTickMillis = nowMillis
        if (gapMillis >= BLOCKED_MILLIS) {
            DecisionLog.record("event_loop_resumed", "afterMillis" to gapMillis)
        }
    }

    override fun close() {
        watcher.interrupt()
    }

    private fun watch() {
        var checkedAtMillis = clock.monotonicMillis()
        try {
            while (true) {
                Thread.sleep(CHECK_INTERVAL_MILLIS)
                val nowMillis = clock.monotonicMillis()
                val pauseMillis = nowMillis - checkedAtMillis - CHECK_INTERVAL_MILLIS
                checkedAtMillis = nowMillis
                check(nowMillis, pauseMillis)
            }
        } catch (_: InterruptedException) {
            // The instance is closed.
        }
    }

    private fun check(nowMillis: Long, pauseMillis: Long) {
        val blockedMillis = nowMillis - lastTickMillis
        if (pauseMillis >= BLOCKED_MILLIS) {
            DecisionLog.record("process_paused", "millis" to pauseMillis)
        } else if (blockedMillis >= BLOCKED_MILLIS) {
            DecisionLog.record(
                "event_loop_blocked",
                "millis" to blockedMillis,
                "stack" to loopThread?.stackTrace.orEmpty().take(STACK_DEPTH)
            )
        }
    }

    private companion object {
        /** Several times the interval of ticks, and below the time-outs of members and callers. */
        const val BLOCKED_MILLIS = 600L
        const val CHECK_INTERVAL_MILLIS = 400L

        /** Enough to show the library and the code of ours that called it. */
        const val STACK_DEPTH = 24
    }
}
