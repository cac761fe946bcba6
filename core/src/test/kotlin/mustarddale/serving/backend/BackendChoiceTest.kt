package mustarddale.serving.backend

import java.util.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import mustarddale.serving.backend.BackendFixtures.backend

class BackendChoiceTest {
    private val choice = BackendChoice(Random(20261204))
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

    private fun BackendLoad.send(count: Int) = repeat(count) { sent(nowMillis) }

    private fun BackendLoad.lose(count: Int) = repeat(count) {
        sent(nowMillis)
        ended(Ending.LOST, nowMillis)
    }

    private data class Case(
        val name: String,
        val candidates: List<Candidate>,
        val wanted: WantedModel?,
        val expected: String
    )

    @Test
    fun `which server a request goes to`() {
        val model = WantedModel("m")
        val cases = listOf(
            Case("none", emptyList(), model, "NoBackend"),
            Case("no model", listOf(candidate("x", holds = "n")), model, "NotResident"),
            Case("no adapter", listOf(candidate("x")), WantedModel("m", "a2"), "NotResident"),
            Case(
                "the least loaded",
                listOf(candidate("x") { send(5) }, candidate("y") { send(2) }),
                model,
                "y"
            ),
            Case(
                "others' requests count",
                listOf(
                    candidate("x") { told(ToldLoad(9, 0, 10), nowMillis) },
                    candidate("y") { send(4) }
                ),
                model,
                "y"
            ),
            Case("all full", listOf(candidate("x") { send(20) }), model, "Full"),
            Case(
                "a cold server up to its allowance",
                listOf(
                    candidate("x") {
                        cold(3_000, nowMillis)
                        send(3)
                    }
                ),
                model,
                "Full"
            )
        )
        check(cases)
    }

    @Test
    fun `which server is doubted`() {
        val model = WantedModel("m")
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
                            sent(nowMillis)
                            ended(Ending.FAILED, nowMillis)
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
            val made = choice.choose(case.candidates, case.wanted, emptySet(), "a", nowMillis)
            val name = if (made is Choice.Chosen) made.backend.id else made.toString()
            assertEquals(case.expected, name, case.name)
        }
    }

    @Test
    fun `a server that refused the request is not asked again`() {
        val made = choice.choose(listOf(candidate("x")), null, setOf("x"), "a", nowMillis)
        assertEquals(Choice.Full, made)
    }
}
