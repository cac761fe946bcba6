/*
 * A single worker thread with a bounded event queue. When the queue is full the sender is told at
 * once, so that overload leads to rejections instead of waiting.
 */
package mustarddale.instance.duty

import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread
import org.jctools.queues.MpscArrayQueue
import org.slf4j.LoggerFactory

/** A daemon thread [name] that passes events to [handle], one at a time, in arrival order. */
public class Duty<E : Any>(
    private val name: String,
    capacity: Int = DEFAULT_CAPACITY,
    private val handle: (E) -> Unit
) : AutoCloseable {
    private val queue = MpscArrayQueue<E>(capacity)
    private val isOpen = AtomicBoolean(true)
    private val worker = thread(name = name, isDaemon = true) { run() }

    /** Enqueues [event]; false if the queue is full or this worker has been closed. */
    public fun offer(event: E): Boolean {
        if (!isOpen.get() || !queue.offer(event)) return false
        LockSupport.unpark(worker)
        return true
    }

    override fun close() {
        isOpen.set(false)
        LockSupport.unpark(worker)
    }

    private fun run() {
        while (true) {
            val event = queue.poll()
            when {
                event != null -> handleSafely(event)
                !isOpen.get() -> return
                else -> LockSupport.parkNanos(this, IDLE_PARK_NANOS)
            }
        }
    }

    @Suppress("TooGenericExceptionCaught")
    private fun handleSafely(event: E) {
        try {
            handle(event)
        } catch (e: Exception) {
            log.error("worker {} failed to handle {}", name, event::class.simpleName, e)
        }
    }

    private companion object {
        const val DEFAULT_CAPACITY = 4_096
        const val IDLE_PARK_NANOS = 100_000_000L
        val log = LoggerFactory.getLogger(Duty::class.java)
    }
}
