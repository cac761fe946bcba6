package mustarddale.instance.duty

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import org.slf4j.LoggerFactory

/** A daemon thread [name] that runs [task] repeatedly, with [intervalMillis] between the runs. */
public class PeriodicDuty(
    private val name: String,
    private val intervalMillis: Long,
    private val task: () -> Unit
) : AutoCloseable {
    private val closed = CountDownLatch(1)
    private val worker = thread(name = name, isDaemon = true) { run() }

    override fun close() {
        closed.countDown()
        worker.interrupt()
    }

    private fun run() {
        do {
            runSafely()
        } while (!isClosedWithin(intervalMillis))
    }

    private fun isClosedWithin(millis: Long): Boolean = try {
        closed.await(millis, TimeUnit.MILLISECONDS)
    } catch (_: InterruptedException) {
        closed.count == 0L
    }

    @Suppress("TooGenericExceptionCaught")
    private fun runSafely() {
        try {
            task()
        } catch (e: Exception) {
            if (closed.count > 0) log.warn("periodic task {} failed: {}", name, e.toString())
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger(PeriodicDuty::class.java)
    }
}
