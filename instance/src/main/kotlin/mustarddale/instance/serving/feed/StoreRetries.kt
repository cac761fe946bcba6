package mustarddale.instance.serving.feed

import java.util.random.RandomGenerator
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.serving.retry.OutageSchedule
import mustarddale.time.Clock

/** Delays the retries of all readers of the platform's log; confined to one thread. */
public class StoreRetries(private val clock: Clock, random: RandomGenerator) {
    private val schedule = OutageSchedule(random)
    private var success = CompletableDeferred<Unit>()

    /** Records an answer of the log, and ends the pauses of readers during an outage. */
    public fun recordSuccess() {
        val wasOutage = schedule.isOutage
        schedule.recordSuccess()
        if (!wasOutage) return
        success.complete(Unit)
        success = CompletableDeferred()
    }

    /** Pauses a reader whose call has failed for [delayMillis], or longer during an outage. */
    public suspend fun pauseAfterFailure(delayMillis: Long) {
        val pauseMillis = schedule.recordFailure(clock.monotonicMillis(), delayMillis)
        if (!schedule.isOutage) {
            delay(pauseMillis)
            return
        }
        val current = success
        withTimeoutOrNull(pauseMillis) { current.await() } ?: return
        delay(schedule.delayAfterSuccess())
    }
}
