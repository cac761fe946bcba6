/*
 * Decides when the leader may call the platform: not before the calls of another holder are long
 * enough ago, one call at a time for each subject, within the rate that the platform accepts from
 * all instances together, later after each failure, and never again in the term after the platform
 * has seen a newer fencing token.
 */
package mustarddale.serving.usage

/** The platform's answer to a call of a leader. */
public enum class CallAnswer {
    /** The call took effect. */
    DONE,

    /** The platform has seen a newer fencing token. */
    FENCED,

    /** The platform takes no more calls for now. */
    LIMITED,

    /** The platform will never take this call. */
    REJECTED,

    /** The call may have taken effect, or may do so later. */
    UNKNOWN
}

/**
 * Paces the calls of one term; not thread-safe.
 *
 * @param callsPerSecond the rate that the platform accepts.
 * @param notBeforeMillis when the first call may be sent.
 */
public class CallPacer(callsPerSecond: Double, notBeforeMillis: Long) {
    private val intervalMillis =
        (INTERVAL_FACTOR * MILLIS_PER_SECOND / callsPerSecond).toLong().coerceAtLeast(1)
    private var nextCallMillis = notBeforeMillis
    private val openSubjects = HashSet<String>()
    private val stoppedDuties = HashSet<String>()
    private val backOffs = HashMap<String, BackOff>()

    /** Whether a call of [duty] about [subject] may be sent at [nowMillis]. */
    public fun mayCall(duty: String, subject: String, nowMillis: Long): Boolean =
        duty !in stoppedDuties && subject !in openSubjects && nowMillis >= nextCallMillis &&
            nowMillis >= (backOffs[subject]?.untilMillis ?: Long.MIN_VALUE)

    /** Whether the duty has ended for this term. */
    public fun isStopped(duty: String): Boolean = duty in stoppedDuties

    /** Records that a call about [subject] is sent at [nowMillis]. */
    public fun started(subject: String, nowMillis: Long) {
        openSubjects += subject
        nextCallMillis = nowMillis + intervalMillis
    }

    /** Records the [answer] to the call of [duty] about [subject]. */
    public fun answered(duty: String, subject: String, answer: CallAnswer, nowMillis: Long) {
        openSubjects -= subject
        when (answer) {
            CallAnswer.DONE, CallAnswer.REJECTED -> backOffs.remove(subject)

            CallAnswer.FENCED -> stoppedDuties += duty

            CallAnswer.LIMITED, CallAnswer.UNKNOWN -> {
                val millis = backOffs[subject]?.let { it.millis * 2 } ?: FIRST_BACK_OFF_MILLIS
                val bounded = minOf(millis, MAX_BACK_OFF_MILLIS)
                backOffs[subject] = BackOff(bounded, nowMillis + bounded)
            }
        }
    }

    private data class BackOff(val millis: Long, val untilMillis: Long)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000

        /** Calls that are spaced exactly may arrive closer to each other. */
        const val INTERVAL_FACTOR = 1.1
        const val FIRST_BACK_OFF_MILLIS = 250L

        /** A platform that works again gets the backlog soon enough for bills of a minute. */
        const val MAX_BACK_OFF_MILLIS = 5_000L
    }
}
