/*
 * Bounds the volume of the log of requests. All instances keep the lines of the same requests, by a
 * hash of the id, so that what is left of a request's story is whole.
 */
package mustarddale.instance.serving

/** Decides which lines on requests are written. */
public class LogVolume {
    private var secondMillis = 0L
    private var goodLines = 0
    private var otherLines = 0
    private var keptInSixteen = KEPT_OF
    private var leftOut = 0L

    /** Returns whether a line on [request] at [nowMillis] is written. */
    @Synchronized
    public fun isWritten(request: String?, isGood: Boolean, nowMillis: Long): Boolean {
        if (nowMillis - secondMillis >= MILLIS_PER_SECOND) {
            secondMillis = nowMillis
            keptInSixteen = keptFor(goodLines)
            goodLines = 0
            otherLines = 0
        }
        val isWritten = if (isGood) {
            goodLines++
            Math.floorMod(request.hashCode(), KEPT_OF) < keptInSixteen
        } else {
            otherLines++
            otherLines <= MAX_OTHER_LINES
        }
        if (!isWritten) leftOut++
        return isWritten
    }

    /** Returns how many lines were left out since the last call, at most once a second. */
    @Synchronized
    public fun takeLeftOut(nowMillis: Long): Long {
        if (leftOut == 0L || nowMillis != secondMillis) return 0
        return leftOut.also { leftOut = 0 }
    }

    private fun keptFor(lines: Int): Int {
        var kept = KEPT_OF
        while (kept > 1 && lines * kept / KEPT_OF > MAX_GOOD_LINES) kept /= 2
        return kept
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L

        /** Successes are thinned out in halves down to one of sixteen. */
        const val KEPT_OF = 16

        /** Twice what an instance of today's size writes at its usual load. */
        const val MAX_GOOD_LINES = 100

        /** Room for a storm of refusals of three times the usual load. */
        const val MAX_OTHER_LINES = 150
    }
}
