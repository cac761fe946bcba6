package mustarddale.bench

/** The cost of one operation. */
public data class Cost(public val medianMicros: Double, public val bestMicros: Double)

/** Measures operations in this process, after a warm-up, as the median of several rounds. */
public object Timing {
    private const val ROUNDS = 15
    private const val WARM_UP_NANOS = 400_000_000L
    private const val ROUND_NANOS = 40_000_000L
    private const val NANOS_PER_MICRO = 1_000.0

    /** The cost of [operation], which must give a result that depends on its work. */
    public fun cost(operation: () -> Any?): Cost {
        val perRound = warmUp(operation)
        val micros = List(ROUNDS) { round(perRound, operation) / NANOS_PER_MICRO }.sorted()
        return Cost(micros[ROUNDS / 2], micros.first())
    }

    private fun warmUp(operation: () -> Any?): Int {
        val start = System.nanoTime()
        var count = 0
        while (System.nanoTime() - start < WARM_UP_NANOS) {
            sink = operation()
            count++
        }
        return (count * ROUND_NANOS / WARM_UP_NANOS).toInt().coerceAtLeast(1)
    }

    private fun round(count: Int, operation: () -> Any?): Double {
        val start = System.nanoTime()
        repeat(count) { sink = operation() }
        return (System.nanoTime() - start).toDouble() / count
    }

    @Volatile
    private var sink: Any? = null
}
