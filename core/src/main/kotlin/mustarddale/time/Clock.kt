package mustarddale.time

/** The time as an instance sees it, in milliseconds. */
public interface Clock {
    /** Milliseconds on a clock that never steps back; its zero has no meaning. */
    public fun monotonicMillis(): Long

    /** Milliseconds since the Unix epoch; may step, so it is only ever shown or recorded. */
    public fun wallMillis(): Long
}

/** The clock of this machine. */
public object SystemClock : Clock {
    private const val NANOS_PER_MILLI = 1_000_000L

    override fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    override fun wallMillis(): Long = System.currentTimeMillis()
}
