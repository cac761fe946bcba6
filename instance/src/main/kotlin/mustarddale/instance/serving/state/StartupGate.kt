package mustarddale.instance.serving.state

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.instance.serving.DecisionLog
import mustarddale.time.Clock

/**
 * Holds requests that arrive while the process starts until it has a configuration and quota
 * shares, which takes up to a second; before that it could only refuse. Confined to one thread.
 */
public class StartupGate(private val clock: Clock) {
    private val startMillis = clock.monotonicMillis()
    private var opensAtLatestMillis = startMillis + MAX_STARTUP_WAIT_MILLIS
    private val opened = CompletableDeferred<Unit>()

    /** Records that callers can connect from now on; slow machines need seconds until then. */
    public fun onListening() {
        opensAtLatestMillis = clock.monotonicMillis() + MAX_STARTUP_WAIT_MILLIS
    }

    /** Opens the gate, because requests can be admitted. */
    public fun open() {
        if (!opened.complete(Unit)) return
        DecisionLog.record(
            "requests_admitted",
            "sinceStartMillis" to clock.monotonicMillis() - startMillis
        )
    }

    /** Returns the longest wait of a request that arrives now, in milliseconds. */
    public fun maxWaitMillis(): Long = if (opened.isCompleted) {
        0
    } else {
        (opensAtLatestMillis - clock.monotonicMillis()).coerceAtLeast(0)
    }

    /** Waits until the gate opens, up to [maxWaitMillis]. */
    public suspend fun awaitOpen() {
        val maxWaitMillis = maxWaitMillis()
        if (maxWaitMillis > 0) withTimeoutOrNull(maxWaitMillis) { opened.await() }
    }

    private companion object {
        /** Half of the time that callers wait for a stream to begin. */
        const val MAX_STARTUP_WAIT_MILLIS = 1_000L
    }
}
