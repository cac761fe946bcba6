package mustarddale.time

/** The clock of an instance, in milliseconds. */
public interface Clock {
    /** Milliseconds on a clock that never goes backwards, with an arbitrary origin. */
    public fun monotonicMillis(): Long

    /** Milliseconds since the Unix epoch; may jump, so do not use it to measure durations. */
    public fun wallMillis(): Long
}

/** The system clock of this host. */
public object SystemClock : Clock {
    private const val NANOS_PER_MILLI = 1_000_000L

    override fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    override fun wallMillis(): Long = System.currentTimeMillis()
}
