package mustarddale.instance.serving.leader

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import mustarddale.instance.http.ProbeResult
import mustarddale.serving.leadership.InstanceAddress
import mustarddale.time.Clock

/** Tests which answers show that a process has ended. */
class EndedProcessDetectorTest {
    private class SetClock : Clock {
        var nowMillis = 0L

        override fun monotonicMillis(): Long = nowMillis

        override fun wallMillis(): Long = nowMillis
    }

    private class Case(
        val name: String,
        val answers: List<ProbeResult>,
        val endedAtMillis: Long?,
        val probes: Int
    )

    @Test
    fun `a process has ended when its machine has refused connections twice in a row`() {
        val cases = listOf(
            Case("refused always", List(20) { ProbeResult.REFUSED }, 100, probes = 20),
            Case("never answered", List(20) { ProbeResult.UNANSWERED }, null, probes = 20),
            Case(
                "reset once on the way",
                listOf(ProbeResult.REFUSED) + List(19) { ProbeResult.ACCEPTED },
                null,
                probes = 3
            ),
            Case(
                "frozen, then ended",
                listOf(ProbeResult.ACCEPTED) + List(19) { ProbeResult.REFUSED },
                1_100,
                probes = 11
            )
        )
        cases.forEach { case ->
            val clock = SetClock()
            val answers = ArrayDeque(case.answers)
            val ended = ArrayList<Long>()
            val detector = EndedProcessDetector(
                CoroutineScope(Dispatchers.Unconfined),
                clock,
                probe = { answers.removeFirst() },
                onEnded = { _, atMillis -> ended += atMillis }
            )
            repeat(20) {
                detector.check(mapOf("a" to InstanceAddress("10.0.0.1", 7_600)))
                clock.nowMillis += 100
            }
            assertEquals(case.endedAtMillis, ended.firstOrNull(), case.name)
            assertEquals(case.probes, case.answers.size - answers.size, case.name)
        }
    }

    @Test
    fun `a few processes are asked at a time`() {
        val asked = ArrayList<InstanceAddress>()
        val detector = EndedProcessDetector(
            CoroutineScope(Dispatchers.Unconfined),
            SetClock(),
            probe = {
                asked += it
                kotlinx.coroutines.awaitCancellation()
            },
            onEnded = { _, _ -> }
        )
        detector.check((0..<390).associate { "i$it" to InstanceAddress("10.0.0.1", it) })
        assertEquals(24, asked.size)
    }
}
