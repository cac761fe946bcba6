package mustarddale.instance.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.runBlocking
import mustarddale.instance.serving.state.StartGate
import mustarddale.time.Clock

class StartGateTest {
    private var nowMillis = 0L
    private val clock = object : Clock {
        override fun monotonicMillis() = nowMillis

        override fun wallMillis() = nowMillis
    }

    @Test
    fun `requests wait until the gate opens or the start has taken a second`() =
        runBlocking(Dispatchers.Unconfined) {
            // Each: when the request comes, whether the gate has opened by then, whether it passes.
            listOf(
                Triple(0L, false, false),
                Triple(0L, true, true),
                Triple(999L, false, false),
                Triple(1_000L, false, true)
            ).forEach { (atMillis, hasOpened, passes) ->
                nowMillis = 0
                val gate = StartGate(clock)
                if (hasOpened) gate.open()
                nowMillis = atMillis
                val request = async(start = CoroutineStart.UNDISPATCHED) { gate.pass() }
                assertEquals(passes, request.isCompleted, "at $atMillis ms, open: $hasOpened")
                gate.open()
                request.join()
                request.cancelAndJoin()
            }
        }
}
