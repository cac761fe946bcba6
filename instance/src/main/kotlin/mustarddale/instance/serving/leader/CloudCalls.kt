/*
 * Sends the calls of one term to the platform, as CallPacer permits. A call that was sent in an
 * earlier term of this process may still be on its way to a connection, so a later term waits until
 * it has ended; the platform then never gets a lower fencing token after a higher one.
 */
package mustarddale.instance.serving.leader

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.settings.CloudDuty
import mustarddale.instance.serving.settings.CloudSettings
import mustarddale.serving.leadership.LastOrder
import mustarddale.serving.leadership.LeadershipTerm
import mustarddale.serving.usage.CallAnswer
import mustarddale.serving.usage.CallPacer
import mustarddale.time.Clock

/** The calls of all terms of this process that have not ended. */
internal class OpenCalls {
    var count = 0
}

/**
 * The calls of one term.
 *
 * @param openCalls shared by all terms of this process.
 * @param mayOrder whether this instance may call the platform now.
 */
internal class CloudCalls(
    private val scope: CoroutineScope,
    private val leadership: LeadershipTerm,
    private val instance: String,
    leaseMillis: Long,
    settings: CloudSettings,
    private val openCalls: OpenCalls,
    private val clock: Clock,
    private val mayOrder: () -> Boolean
) {
    private val foreignCall = leadership.lastForeignCall(instance)
    private val pacer = CallPacer(
        settings.callsPerSecond,
        leadership.sinceMillis + LastOrder.waitMillis(foreignCall, instance, leaseMillis)
    )
    private var ownOpenCount = 0
    private var lastCallAtMillis: Long? = null

    /** Returns the newest call of this leader or an earlier one, null if there was none. */
    fun lastCall(): LastOrder? {
        val nowMillis = clock.monotonicMillis()
        return lastCallAtMillis?.let { LastOrder(instance, nowMillis - it) }
            ?: foreignCall?.agedBy(nowMillis - leadership.sinceMillis)
    }

    /** Whether a call of [duty] about [subject] may be sent at [nowMillis]. */
    fun mayCall(duty: CloudDuty, subject: String, nowMillis: Long): Boolean =
        openCalls.count == ownOpenCount && pacer.mayCall(duty.name, subject, nowMillis) &&
            mayOrder()

    /** Sends [call] and passes its answer, and when it was sent, to [onAnswer]. */
    fun start(
        duty: CloudDuty,
        subject: String,
        call: suspend () -> CallAnswer,
        onAnswer: (answer: CallAnswer, sentMillis: Long) -> Unit
    ) {
        val sentMillis = clock.monotonicMillis()
        pacer.started(subject, sentMillis)
        openCalls.count++
        ownOpenCount++
        scope.launch {
            var answer = CallAnswer.UNKNOWN
            try {
                // The event loop may have been blocked since the call was decided.
                if (!mayOrder()) return@launch
                lastCallAtMillis = clock.monotonicMillis()
                answer = call()
            } finally {
                openCalls.count--
                ownOpenCount--
                pacer.answered(duty.name, subject, answer, clock.monotonicMillis())
            }
            if (answer == CallAnswer.FENCED) {
                DecisionLog.record("duty_stopped", "duty" to duty, "term" to leadership.term)
            }
            onAnswer(answer, sentMillis)
        }
    }
}
