package mustarddale.instance.serving

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay

/**
 * Runs [round] until cancelled, with pauses of [intervalMillis]; an exception ends only its round.
 *
 * @param task the name of the rounds in the log.
 * @param onFailedRounds called after a failed round with the number of those in a row.
 */
@Suppress("TooGenericExceptionCaught")
internal suspend fun repeatRounds(
    task: String,
    intervalMillis: Long,
    onFailedRounds: (count: Int) -> Unit = {},
    round: suspend () -> Unit
): Nothing {
    var failedRounds = 0
    while (true) {
        try {
            round()
            failedRounds = 0
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            failedRounds++
            logFailedRound(task, failedRounds, e)
            onFailedRounds(failedRounds)
        }
        delay(intervalMillis)
    }
}

/** Logs the failed rounds 1, 2, 4, 8 and so on, which bounds the lines of a lasting failure. */
private fun logFailedRound(task: String, count: Int, cause: Exception) {
    if (Integer.bitCount(count) != 1) return
    DecisionLog.record(
        "round_failed",
        "task" to task,
        "failedInARow" to count,
        "error" to cause.toString(),
        "at" to cause.stackTrace.firstOrNull()
    )
}
