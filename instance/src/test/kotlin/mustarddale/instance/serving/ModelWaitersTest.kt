package mustarddale.instance.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.runBlocking
import mustarddale.instance.serving.state.ModelWaiters
import mustarddale.instance.serving.state.ServiceModel
import mustarddale.serving.backend.ModelRef

class ModelWaitersTest {
    private val first = ServiceModel("scribe", ModelRef("m1"))
    private val second = ServiceModel("scribe", ModelRef("m2"))

    @Test
    fun `a wait ends when the model is resident, on shutdown or when it is cancelled`() =
        runBlocking(Dispatchers.Unconfined) {
            val waiters = ModelWaiters()
            val waiting = listOf(first, second, second).map { serviceModel ->
                async(start = CoroutineStart.UNDISPATCHED) { waiters.await(serviceModel) }
            }
            assertEquals(mapOf(first to 1, second to 2), waiters.waitingCounts(nowMillis = 0))
            waiters.wake { it == first }
            assertEquals(true, waiting[0].await())
            waiting[1].cancelAndJoin()
            assertEquals(mapOf(second to 1), waiters.waitingCounts(nowMillis = 0))
            waiters.close()
            assertEquals(false, waiting[2].await())
            assertEquals(false, waiters.await(first), "no request waits during a shutdown")
        }

    @Test
    fun `requests that are to be retried later count as waiting until then`() {
        val waiters = ModelWaiters()
        waiters.recordDeferredRetry(first, retryAtMillis = 500)
        waiters.recordDeferredRetry(first, retryAtMillis = 900)
        listOf(0L to 2, 499L to 2, 500L to 1, 900L to null).forEach { (nowMillis, expected) ->
            assertEquals(expected, waiters.waitingCounts(nowMillis)[first], "at $nowMillis ms")
        }
    }
}
