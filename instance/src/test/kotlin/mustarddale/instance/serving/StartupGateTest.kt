package mustarddale.instance.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import mustarddale.instance.serving.state.StartupGate
import mustarddale.time.Clock

class StartupGateTest {
    private var nowMillis = 0L
    private val clock = object : Clock {
        override fun monotonicMillis() = nowMillis

        override fun wallMillis() = nowMillis
    }

    @Test
    fun `a request waits only for the rest of the startup time`() {
        // The time of arrival, whether the gate has opened before, the longest wait.
        listOf(
            Triple(0L, false, 1_000L),
            Triple(0L, true, 0L),
            Triple(999L, false, 1L),
            Triple(999L, true, 0L),
            Triple(1_000L, false, 0L),
            Triple(5_000L, false, 0L)
        ).forEach { (atMillis, hasOpened, expected) ->
            nowMillis = 0
            val gate = StartupGate(clock)
            if (hasOpened) gate.open()
            nowMillis = atMillis
            assertEquals(expected, gate.maxWaitMillis(), "at $atMillis ms, open: $hasOpened")
        }
    }

    /** Guards against a slow machine whose startup time is over before anyone can connect. */
    @Test
    fun `the startup time counts from when callers can connect`() {
        // When callers can connect, the time of arrival, the longest wait.
        listOf(
            Triple(0L, 400L, 600L),
            Triple(5_700L, 5_700L, 1_000L),
            Triple(5_700L, 6_600L, 100L),
            Triple(5_700L, 6_700L, 0L)
        ).forEach { (listeningMillis, atMillis, expected) ->
            nowMillis = 0
            val gate = StartupGate(clock)
            nowMillis = listeningMillis
            gate.onListening()
            nowMillis = atMillis
            assertEquals(expected, gate.maxWaitMillis(), "$listeningMillis, at $atMillis ms")
        }
    }

    @Test
    fun `a request waits until the gate opens`() = runBlocking(Dispatchers.Unconfined) {
        val gate = StartupGate(clock)
        // Long before the startup time ends, so that only the opening can end the wait.
        nowMillis = -FAR_MILLIS
        val request = async(start = CoroutineStart.UNDISPATCHED) { gate.awaitOpen() }
        assertEquals(false, request.isCompleted)
        gate.open()
        request.join()
        assertEquals(0, gate.maxWaitMillis())
    }

    private companion object {
        const val FAR_MILLIS = 1_000_000L
    }
}
