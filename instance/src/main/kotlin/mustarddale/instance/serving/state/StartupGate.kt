package mustarddale.instance.serving.state

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.time.Clock

/**
 * Lets requests that arrive while the process starts wait for its first configuration and shares,
 * which come within a second; without them it could only refuse. Belongs to one thread.
 */
public class StartupGate(private val clock: Clock) {
    private val opensAtMillis = clock.monotonicMillis() + START_MILLIS
    private val opened = CompletableDeferred<Unit>()

    /** Notes that requests can be admitted. */
    public fun open() {
        opened.complete(Unit)
    }

    /** Returns for how long a request that comes now waits at the most, in milliseconds. */
    public fun leftMillis(): Long = if (opened.isCompleted) {
        0
    } else {
        (opensAtMillis - clock.monotonicMillis()).coerceAtLeast(0)
    }

    /** Returns once requests can be admitted, or the start has taken too long. */
    public suspend fun pass() {
        val leftMillis = leftMillis()
        if (leftMillis > 0) withTimeoutOrNull(leftMillis) { opened.await() }
    }

    private companion object {
        /** Half of the time for which callers wait until a stream begins. */
        const val START_MILLIS = 1_000L
    }
}
