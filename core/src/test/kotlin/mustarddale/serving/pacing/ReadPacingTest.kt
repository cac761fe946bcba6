package mustarddale.serving.pacing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ReadPacingTest {
    @Test
    fun `connections are read only while the event loop keeps up`() {
        // Whether requests can be answered, the lag of the round, the connections read.
        listOf(
            Triple(false, 0L, 0),
            Triple(false, 500L, 0),
            Triple(true, 0L, 4),
            Triple(true, 30L, 4),
            Triple(true, 31L, 1),
            Triple(true, 5_000L, 1)
        ).forEach { (canAnswer, lagMillis, expected) ->
            assertEquals(
                expected,
                ReadPacing.connectionsToRead(canAnswer, lagMillis),
                "can answer: $canAnswer, $lagMillis ms late"
            )
        }
    }

    /** Guards against an instance whose leader has no time for shares because callers repeat. */
    @Test
    fun `control work is done in time however many callers connect`() {
        // Connections a second, the time that a request takes, the longest delay of control work.
        listOf(
            Triple(10, 5, 200L),
            Triple(100, 5, 200L),
            Triple(100, 15, 200L),
            Triple(1_000, 15, 200L),
            Triple(10_000, 40, 200L)
        ).forEach { (perSecond, requestMillis, maxDelayMillis) ->
            val delayMillis = longestControlDelay(perSecond, requestMillis.toLong())
            assertTrue(
                delayMillis <= maxDelayMillis,
                "$perSecond/s of $requestMillis ms delay control work by $delayMillis ms"
            )
        }
    }

    /** Plays an event loop in arrival order, with control work of 5 ms every 100 ms, for 10 s. */
    private fun longestControlDelay(perSecond: Int, requestMillis: Long): Long {
        var nowMillis = 0L
        var waiting = 0
        var arrived = 0
        var roundDueMillis = 0L
        var controlDueMillis = 0L
        var longestMillis = 0L
        while (nowMillis < DURATION_MILLIS) {
            val due = (nowMillis * perSecond / 1_000).toInt()
            waiting += due - arrived
            arrived = due
            if (controlDueMillis <= nowMillis) {
                longestMillis = maxOf(longestMillis, nowMillis - controlDueMillis)
                nowMillis += CONTROL_MILLIS
                controlDueMillis += CONTROL_INTERVAL_MILLIS
            }
            if (roundDueMillis <= nowMillis) {
                val lagMillis = nowMillis - roundDueMillis
                val read = minOf(waiting, ReadPacing.connectionsToRead(true, lagMillis))
                waiting -= read
                nowMillis += read * requestMillis
                // The next round waits behind the requests of this one.
                roundDueMillis = nowMillis - read * requestMillis + ReadPacing.intervalMillis(true)
            }
            nowMillis = maxOf(nowMillis, minOf(roundDueMillis, controlDueMillis))
        }
        return longestMillis
    }

    private companion object {
        const val DURATION_MILLIS = 10_000L
        const val CONTROL_MILLIS = 5L
        const val CONTROL_INTERVAL_MILLIS = 100L
    }
}
