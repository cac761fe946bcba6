package mustarddale.instance.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.runBlocking
import mustarddale.instance.serving.state.Awaited
import mustarddale.instance.serving.state.ModelWaiters
import mustarddale.serving.backend.ModelRef

class ModelWaitersTest {
    private val first = Awaited("scribe", ModelRef("m1"))
    private val second = Awaited("scribe", ModelRef("m2"))

    @Test
    fun `a wait ends when the model is there, when the instance leaves or when it is cancelled`() =
        runBlocking(Dispatchers.Unconfined) {
            val room = ModelWaiters()
            val waits = listOf(first, second, second).map { awaited ->
                async(start = CoroutineStart.UNDISPATCHED) { room.await(awaited) }
            }
            assertEquals(mapOf(first to 1, second to 2), room.counts(nowMillis = 0))
            room.wake { it == first }
            assertEquals(true, waits[0].await())
            waits[1].cancelAndJoin()
            assertEquals(mapOf(second to 1), room.counts(nowMillis = 0))
            room.close()
            assertEquals(false, waits[2].await())
            assertEquals(false, room.await(first), "nobody waits at an instance that leaves")
        }

    @Test
    fun `requests that come back later count as waiting until then`() {
        val room = ModelWaiters()
        room.comesBack(first, backAtMillis = 500)
        room.comesBack(first, backAtMillis = 900)
        listOf(0L to 2, 499L to 2, 500L to 1, 900L to null).forEach { (nowMillis, expected) ->
            assertEquals(expected, room.counts(nowMillis)[first], "at $nowMillis ms")
        }
    }
}
