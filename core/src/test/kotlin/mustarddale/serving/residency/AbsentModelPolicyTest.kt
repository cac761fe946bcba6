package mustarddale.serving.residency

import kotlin.test.Test
import kotlin.test.assertEquals
import mustarddale.serving.residency.AbsentModelDecision.RetryLater
import mustarddale.serving.residency.AbsentModelDecision.Wait

class AbsentModelPolicyTest {
    private val chat = request(timeoutAtMillis = 12_000, latencyTargetMillis = 300)
    private val batch = request(timeoutAtMillis = 22_000, latencyTargetMillis = 3_000)
    private val adapter = chat.copy(lacksAdapterOnly = true)

    private fun request(timeoutAtMillis: Long, latencyTargetMillis: Long) =
        AbsentModelRequest(10_000, timeoutAtMillis, latencyTargetMillis, lacksAdapterOnly = false)

    private data class Case(
        val name: String,
        val request: AbsentModelRequest,
        val expectedAtMillis: Long?,
        val nowMillis: Long,
        val decision: AbsentModelDecision
    )

    private val cases = listOf(
        Case("waits for a load from host memory", chat, 10_450, 10_050, Wait(11_500)),
        Case("no wait for a load from the weight store", chat, 13_900, 10_010, RetryLater(3_890)),
        Case("a batch job waits for such a load", batch, 13_900, 10_010, Wait(16_000)),
        Case("waits while the load may still be ordered", chat, null, 10_399, Wait(10_400)),
        Case("no wait if no load was ordered", chat, null, 10_400, RetryLater(1_000)),
        Case("a batch job waits longer for an order", batch, null, 10_400, Wait(12_250)),
        Case("waits for a load that is a little late", chat, 10_450, 10_900, Wait(11_500)),
        Case("a load that is very late has failed", chat, 10_450, 11_000, RetryLater(1_000)),
        Case("waits for an adapter slot", adapter, null, 11_499, Wait(11_500)),
        Case(
            "no wait for an adapter slot beyond the limit",
            adapter,
            null,
            11_500,
            RetryLater(1_000)
        ),
        Case("no wait for a load that ends too late", chat, 11_550, 11_450, RetryLater(200)),
        Case("no wait that has already ended", chat, 11_400, 11_500, RetryLater(200))
    )

    @Test
    fun `a request waits only while its caller can be served in time`() = cases.forEach {
        val decision = AbsentModelPolicy.decide(it.request, it.expectedAtMillis, it.nowMillis)
        assertEquals(it.decision, decision, it.name)
    }
}
