package mustarddale.serving.backend

import java.util.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import mustarddale.serving.backend.BackendFixtures.backend

class BackendSelectorTest {
    private val choice = BackendSelector(Random(20261204))
    private val nowMillis = 10_000L

    private fun candidate(
        id: String,
        holds: String = "m",
        domain: String = "a",
        allowance: Int = 3,
        load: BackendLoad.() -> Unit = {}
    ) = Candidate(
        backend(id, mapOf(holds to setOf("a1")), domain),
        BackendLoad(slots = 10).apply(load),
        allowance
    )

    private fun BackendLoad.send(count: Int) = repeat(count) { recordSent(nowMillis) }

    private fun BackendLoad.lose(count: Int) = repeat(count) {
        recordSent(nowMillis)
        recordOutcome(RequestOutcome.LOST, nowMillis)
    }

    private data class Case(
        val name: String,
        val candidates: List<Candidate>,
        val wanted: ModelRef?,
        val expected: String
    )

    @Test
    fun `which server a request goes to`() {
        val model = ModelRef("m")
        val cases = listOf(
            Case("none", emptyList(), model, "NoBackend"),
            Case("no model", listOf(candidate("x", holds = "n")), model, "NotResident"),
            Case("no adapter", listOf(candidate("x")), ModelRef("m", "a2"), "NotResident"),
            Case(
                "the least loaded",
                listOf(candidate("x") { send(5) }, candidate("y") { send(2) }),
                model,
                "y"
            ),
            Case(
                "others' requests count",
                listOf(
                    candidate("x") { report(ReportedLoad(9, 0, 10), nowMillis) },
                    candidate("y") { send(4) }
                ),
                model,
                "y"
            ),
            Case("all full", listOf(candidate("x") { send(20) }), model, "NoCapacity"),
            Case(
                "a cold server up to its allowance",
                listOf(
                    candidate("x") {
                        setCold(3_000, nowMillis)
                        send(3)
                    }
                ),
                model,
                "NoCapacity"
            )
        )
        check(cases)
    }

    @Test
    fun `which server is doubted`() {
        val model = ModelRef("m")
        val cases = listOf(
            Case(
                "one that lost requests is avoided",
                listOf(candidate("x") { lose(2) }, candidate("y") { send(9) }),
                model,
                "y"
            ),
            Case("unless there is no other", listOf(candidate("x") { lose(2) }), model, "x"),
            Case(
                "one that fails is avoided",
                listOf(
                    candidate("x") {
                        repeat(10) {
                            recordSent(nowMillis)
                            recordOutcome(RequestOutcome.FAILED, nowMillis)
                        }
                    },
                    candidate("y") { send(5) }
                ),
                model,
                "y"
            ),
            Case(
                "the nearer among equals",
                listOf(candidate("x", domain = "b") { send(1) }, candidate("y") { send(1) }),
                null,
                "y"
            )
        )
        check(cases)
    }

    private fun check(cases: List<Case>) {
        cases.forEach { case ->
            val made = choice.select(case.candidates, case.wanted, emptySet(), "a", nowMillis)
            val name = if (made is BackendSelection.Selected) made.backend.id else made.toString()
            assertEquals(case.expected, name, case.name)
        }
    }

    @Test
    fun `a server that refused the request is not asked again`() {
        val made = choice.select(listOf(candidate("x")), null, setOf("x"), "a", nowMillis)
        assertEquals(BackendSelection.NoCapacity, made)
    }
}
