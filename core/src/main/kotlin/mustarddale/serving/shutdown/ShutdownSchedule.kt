package mustarddale.serving.shutdown

/**
 * The phases of a planned stop: requests are admitted, open requests are finished, and the rest is
 * answered before the process is killed.
 *
 * @property startMillis when the stop began, by the monotonic clock.
 * @property graceMillis the time from [startMillis] to the kill of the process.
 */
public data class ShutdownSchedule(public val startMillis: Long, public val graceMillis: Long) {
    private val usableMillis = graceMillis - minOf(EXIT_MARGIN_MILLIS, graceMillis / 4)

    /** When open requests that are not finished get their final responses. */
    public val finalResponsesAtMillis: Long = startMillis + usableMillis

    /** When the last request is admitted; as much time or more remains to finish it. */
    public val admissionEndMillis: Long =
        startMillis + minOf(ADMISSION_MILLIS, usableMillis / 2)

    /** Whether a request is admitted at [nowMillis]. */
    public fun mayAdmit(nowMillis: Long): Boolean = nowMillis < admissionEndMillis

    private companion object {
        /** The load balancer checks each second and removes an instance after two failed checks. */
        const val ADMISSION_MILLIS = 2_800L

        /** The time for final responses and the exit itself. */
        const val EXIT_MARGIN_MILLIS = 700L
    }
}
