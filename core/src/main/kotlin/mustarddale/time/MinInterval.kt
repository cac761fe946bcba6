package mustarddale.time

/** Keeps at least [intervalMillis] between two runs of a task; not thread-safe. */
public class MinInterval(private val intervalMillis: Long) {
    private var nextRunMillis = Long.MIN_VALUE

    /** Returns the milliseconds until the task may run again, 0 if it may run now. */
    public fun waitMillis(nowMillis: Long): Long =
        if (nowMillis >= nextRunMillis) 0 else nextRunMillis - nowMillis

    /** Records that the task runs at [nowMillis]. */
    public fun recordRun(nowMillis: Long) {
        nextRunMillis = nowMillis + intervalMillis
    }
}
