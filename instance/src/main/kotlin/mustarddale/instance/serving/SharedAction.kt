package mustarddale.instance.serving

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay

/**
 * Runs [action] once for all that ask for it at a time, with [intervalMillis] between the end of a
 * run and the next; confined to one thread.
 */
public class SharedAction<T : Any>(
    private val name: String,
    private val intervalMillis: Long,
    private val action: suspend () -> T
) {
    private val signal = Channel<Unit>(Channel.CONFLATED)
    private var next = CompletableDeferred<T?>()

    /** Runs the action whenever it is requested, until cancelled. */
    public suspend fun run() {
        while (true) {
            signal.receive()
            // Whoever asks from now on gets the result of a run that begins later.
            val current = next
            next = CompletableDeferred()
            current.complete(resultOrNull())
            delay(intervalMillis)
        }
    }

    /** Returns the result of a run that begins after this call, null if it fails. */
    public suspend fun request(): T? {
        signal.trySend(Unit)
        return next.await()
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun resultOrNull(): T? = try {
        action()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        DecisionLog.record("shared_action_failed", "action" to name, "error" to e.toString())
        null
    }
}
