package mustarddale.bench

/** The time that one operation takes, over several rounds of measurement. */
public data class Cost(public val medianMicros: Double, public val bestMicros: Double)

/** Measures operations in this process: a warm-up, then the median of several timed rounds. */
public object Timing {
    private const val ROUNDS = 15
    private const val WARM_UP_NANOS = 400_000_000L
    private const val ROUND_NANOS = 40_000_000L
    private const val NANOS_PER_MICRO = 1_000.0

    /** Measures [operation], whose result must depend on its work or the JIT may drop it. */
    public fun measure(operation: () -> Any?): Cost {
        val countPerRound = warmUp(operation)
        val micros = List(ROUNDS) {
            nanosPerCall(countPerRound, operation) / NANOS_PER_MICRO
        }.sorted()
        return Cost(micros[ROUNDS / 2], micros.first())
    }

    private fun warmUp(operation: () -> Any?): Int {
        val start = System.nanoTime()
        var count = 0
        while (System.nanoTime() - start < WARM_UP_NANOS) {
            lastResult = operation()
            count++
        }
        return (count * ROUND_NANOS / WARM_UP_NANOS).toInt().coerceAtLeast(1)
    }

    private fun nanosPerCall(count: Int, operation: () -> Any?): Double {
        val start = System.nanoTime()
        repeat(count) { lastResult = operation() }
        return (System.nanoTime() - start).toDouble() / count
    }

    // Keeps the last result reachable, so that the JIT compiler cannot remove the operation.
    @Volatile
    private var lastResult: Any? = null
}
