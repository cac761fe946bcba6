package mustarddale.serving.limit

import kotlin.test.Test
import kotlin.test.assertEquals

/** Tests two instances that report the limit of one server to their leader. */
class LimitViewTest {
    private val registry = LimitRegistry()
    private val views = List(2) { LimitView() }

    private fun respond(instance: Int, limit: Double?, sentMillis: Long, nowMillis: Long) {
        val signal = limit?.let { LimitSignal.Limited(it) } ?: LimitSignal.Unlimited
        views[instance].record(SERVER, signal, sentMillis, hasLeader = true, nowMillis)
    }

    /** Reports to the leader at [nowMillis] and applies its answer. */
    private fun report(instance: Int, nowMillis: Long) {
        views[instance].takeObservations().forEach { registry.observe(it) }
        views[instance].update(registry.limits, reportSentMillis = nowMillis, nowMillis)
    }

    private data class Case(val name: String, val expected: Double?, val steps: () -> Unit)

    private val cases = listOf(
        Case("learned from a response", 4.0) { respond(0, 4.0, 0, 10) },
        Case("learned from the leader", 4.0) {
            respond(1, 4.0, 0, 10)
            report(1, 20)
            report(0, 30)
        },
        Case("not ended by a request that was sent before", 4.0) {
            respond(0, 4.0, 0, 10)
            report(0, 20)
            respond(0, null, 15, 30)
            report(0, 40)
        },
        Case("ended by a request that was sent after", null) {
            respond(0, 4.0, 0, 10)
            report(0, 20)
            respond(0, null, 25, 30)
            report(0, 40)
        },
        Case("not ended against a newer report of another instance", 4.0) {
            respond(0, 4.0, 0, 10)
            report(0, 20)
            respond(0, null, 25, 30)
            respond(1, 4.0, 25, 30)
            report(1, 35)
            report(0, 40)
        },
        Case("not raised against a newer report of another instance", 4.0) {
            respond(0, 4.0, 0, 10)
            report(0, 20)
            respond(0, 9.0, 25, 30)
            respond(1, 4.0, 25, 30)
            report(1, 35)
            report(0, 40)
        },
        Case("lowered at once", 2.0) {
            respond(0, 4.0, 0, 10)
            report(0, 20)
            respond(0, 2.0, 0, 30)
        },
        Case("kept if the leader has not heard of it yet", 4.0) {
            respond(0, 4.0, 0, 50)
            views[0].update(emptyList(), reportSentMillis = 40, 60)
        },
        Case("kept if the next leader has not heard of it yet", 4.0) {
            respond(0, 4.0, 0, 10)
            report(0, 20)
            views[0].forgetLeader()
            respond(0, null, 25, 30)
            report(0, 10)
        }
    )

    @Test
    fun `the limit that an instance applies`() {
        cases.forEach { case ->
            views.forEach { it.remove(SERVER) }
            registry.retain(emptySet())
            case.steps()
            assertEquals(case.expected, views[0].limitOf(SERVER), case.name)
        }
    }

    private companion object {
        const val SERVER = "i-1"
    }
}
