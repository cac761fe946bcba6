package mustarddale.serving.residency

import kotlin.test.Test
import kotlin.test.assertEquals
import mustarddale.serving.residency.AbsentModelDecision.RetryLater
import mustarddale.serving.residency.AbsentModelDecision.Wait

class AbsentModelPolicyTest {
    private val live = request(leavesAtMillis = 12_000, latencyTargetMillis = 300)
    private val batch = request(leavesAtMillis = 22_000, latencyTargetMillis = 3_000)
    private val adapter = live.copy(lacksAdapterOnly = true)

    private fun request(leavesAtMillis: Long, latencyTargetMillis: Long) =
        AbsentModelRequest(10_000, leavesAtMillis, latencyTargetMillis, lacksAdapterOnly = false)

    private data class Case(
        val name: String,
        val request: AbsentModelRequest,
        val expectedAtMillis: Long?,
        val nowMillis: Long,
        val decision: AbsentModelDecision
    )

    private val cases = listOf(
        Case("a load from host memory is awaited", live, 10_450, 10_050, Wait(11_500)),
        Case("a load from the weight store is not", live, 13_900, 10_010, RetryLater(3_890)),
        Case("a batch job waits for it", batch, 13_900, 10_010, Wait(16_000)),
        Case("an order may still be on its way", live, null, 10_399, Wait(10_400)),
        Case("nothing was ordered", live, null, 10_400, RetryLater(1_000)),
        Case("a batch job has more time", batch, null, 10_400, Wait(12_250)),
        Case("a load that is a little late is awaited", live, 10_450, 10_900, Wait(11_500)),
        Case("a load that is very late counts as unknown", live, 10_450, 11_000, RetryLater(1_000)),
        Case("a place for an adapter is awaited", adapter, null, 11_499, Wait(11_500)),
        Case("but not for ever", adapter, null, 11_500, RetryLater(1_000)),
        Case("a model that comes just too late", live, 11_550, 11_450, RetryLater(200))
    )

    @Test
    fun `a request waits only while its caller is there`() = cases.forEach {
        val decision = AbsentModelPolicy.decide(it.request, it.expectedAtMillis, it.nowMillis)
        assertEquals(it.decision, decision, it.name)
    }
}
