/*
 * Limits the number of log lines on requests. All instances sample by the same hash of the request
 * id, so that the lines on a sampled request are complete.
 */
package mustarddale.instance.serving

/** Decides which log lines on requests are written; safe for use by several threads. */
public class RequestLogSampler {
    private var windowStartMillis = 0L
    private var successLines = 0
    private var failureLines = 0
    private var keptBuckets = BUCKET_COUNT
    private var skippedLines = 0L

    /** Returns whether to write a line on [request] at [nowMillis], and counts it. */
    @Synchronized
    public fun shouldWrite(request: String?, isSuccess: Boolean, nowMillis: Long): Boolean {
        if (nowMillis - windowStartMillis >= MILLIS_PER_SECOND) {
            windowStartMillis = nowMillis
            keptBuckets = keptBucketsFor(successLines)
            successLines = 0
            failureLines = 0
        }
        val shouldWrite = if (isSuccess) {
            successLines++
            Math.floorMod(request.hashCode(), BUCKET_COUNT) < keptBuckets
        } else {
            failureLines++
            failureLines <= MAX_FAILURE_LINES
        }
        if (!shouldWrite) skippedLines++
        return shouldWrite
    }

    /** Returns the number of lines skipped since the last report, 0 except once a second. */
    @Synchronized
    public fun takeSkippedLines(nowMillis: Long): Long {
        if (skippedLines == 0L || nowMillis != windowStartMillis) return 0
        return skippedLines.also { skippedLines = 0 }
    }

    /** Returns how many of the buckets to write after a second with [lines] lines on successes. */
    private fun keptBucketsFor(lines: Int): Int {
        var kept = BUCKET_COUNT
        while (kept > 1 && lines * kept / BUCKET_COUNT > MAX_SUCCESS_LINES) kept /= 2
        return kept
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L

        /** Request ids are hashed into buckets; load halves the buckets written, down to one. */
        const val BUCKET_COUNT = 16

        /** Per second; twice the lines of an instance at its usual load. */
        const val MAX_SUCCESS_LINES = 100

        /** Per second; enough for refusals at three times the usual load. */
        const val MAX_FAILURE_LINES = 150
    }
}
