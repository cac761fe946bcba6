/*
 * One thread for one duty. Events reach it through a bounded ring; when the ring is full the sender
 * is told at once, so that overload turns into refusals and not into waiting.
 */
package mustarddale.instance.duty

import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread
import org.jctools.queues.MpscArrayQueue
import org.slf4j.LoggerFactory

/** A thread called [name] that hands each event to [handle], one after the other. */
public class Duty<E : Any>(
    private val name: String,
    capacity: Int = DEFAULT_CAPACITY,
    private val handle: (E) -> Unit
) : AutoCloseable {
    private val ring = MpscArrayQueue<E>(capacity)
    private val isOpen = AtomicBoolean(true)
    private val worker = thread(name = name, isDaemon = true) { run() }

    /** Puts [event] into the ring; false if it is full or the duty has ended. */
    public fun offer(event: E): Boolean {
        if (!isOpen.get() || !ring.offer(event)) return false
        LockSupport.unpark(worker)
        return true
    }

    override fun close() {
        isOpen.set(false)
        LockSupport.unpark(worker)
    }

    private fun run() {
        while (true) {
            val event = ring.poll()
            when {
                event != null -> handleSafely(event)
                !isOpen.get() -> return
                else -> LockSupport.parkNanos(this, IDLE_NANOS)
            }
        }
    }

    @Suppress("TooGenericExceptionCaught")
    private fun handleSafely(event: E) {
        try {
            handle(event)
        } catch (e: Exception) {
            log.error("duty {} failed on {}", name, event::class.simpleName, e)
        }
    }

    private companion object {
        const val DEFAULT_CAPACITY = 4_096
        const val IDLE_NANOS = 100_000_000L
        val log = LoggerFactory.getLogger(Duty::class.java)
    }
}
