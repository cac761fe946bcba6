package mustarddale.serving.backend

import java.util.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import mustarddale.serving.backend.BackendFixtures.backend

class BackendSelectorTest {
    private val selector = BackendSelector(Random(20261204))
    private val nowMillis = 10_000L

    private fun candidate(
        id: String,
        model: String = "m",
        domain: String = "a",
        load: BackendLoad.() -> Unit = {}
    ) = Candidate(
        backend(id, mapOf(model to setOf("a1")), domain),
        BackendLoad(slots = 10).apply(load),
        isColdLimited = true
    )

    private fun BackendLoad.send(count: Int) = repeat(count) { recordSent() }

    private fun BackendLoad.lose(count: Int) = repeat(count) {
        recordSent()
        recordOutcome(RequestOutcome.LOST, nowMillis)
    }

    private data class Case(
        val name: String,
        val candidates: List<Candidate>,
        val wanted: ModelRef?,
        val expected: String
    )

    @Test
    fun `the server that a request is sent to`() {
        val model = ModelRef("m")
        val cases = listOf(
            Case("none", emptyList(), model, "NoBackend"),
            Case("model not loaded", listOf(candidate("x", model = "n")), model, "NotResident"),
            Case("adapter not loaded", listOf(candidate("x")), ModelRef("m", "a2"), "NotResident"),
            Case(
                "the least loaded server",
                listOf(candidate("x") { send(5) }, candidate("y") { send(2) }),
                model,
                "y"
            ),
            Case(
                "requests of other instances count",
                listOf(
                    candidate("x") { report(ReportedLoad(9, 0, 10), nowMillis) },
                    candidate("y") { send(4) }
                ),
                model,
                "y"
            ),
            Case("all servers full", listOf(candidate("x") { send(20) }), model, "NoCapacity"),
            Case(
                "a cold server without a permit",
                listOf(
                    candidate("x") {
                        setCold(3_000, nowMillis)
                        deferPermits(nowMillis + 1, PRIORITY, nowMillis)
                    }
                ),
                model,
                "NoCapacity"
            ),
            Case(
                "a cold server that may get a permit again",
                listOf(
                    candidate("x") {
                        setCold(3_000, nowMillis)
                        deferPermits(nowMillis, PRIORITY, nowMillis)
                    }
                ),
                model,
                "x"
            )
        )
        check(cases)
    }

    @Test
    fun `servers that are avoided`() {
        val model = ModelRef("m")
        val cases = listOf(
            Case(
                "not a server that lost requests",
                listOf(candidate("x") { lose(2) }, candidate("y") { send(9) }),
                model,
                "y"
            ),
            Case(
                "the only server, though it lost requests",
                listOf(candidate("x") { lose(2) }),
                model,
                "x"
            ),
            Case(
                "not a server that fails requests",
                listOf(
                    candidate("x") {
                        repeat(10) {
                            recordSent()
                            recordOutcome(RequestOutcome.FAILED, nowMillis)
                        }
                    },
                    candidate("y") { send(5) }
                ),
                model,
                "y"
            ),
            Case(
                "not a server in another failure domain",
                listOf(candidate("x", domain = "b") { send(1) }, candidate("y") { send(1) }),
                null,
                "y"
            )
        )
        check(cases)
    }

    @Test
    fun `servers that rest`() {
        val model = ModelRef("m")
        val cases = listOf(
            Case(
                "not a server that rests",
                listOf(candidate("x") { rest(1, nowMillis) }, candidate("y") { send(9) }),
                model,
                "y"
            ),
            Case(
                "all servers rest",
                listOf(candidate("x") { rest(Long.MAX_VALUE, nowMillis) }),
                model,
                "NoCapacity"
            ),
            Case(
                "a server that has rested",
                listOf(candidate("x") { rest(500, nowMillis - 500) }),
                model,
                "x"
            ),
            Case(
                "the longer of two times counts",
                listOf(
                    candidate("x") {
                        rest(900, nowMillis - 500)
                        rest(100, nowMillis - 300)
                    }
                ),
                model,
                "NoCapacity"
            )
        )
        check(cases)
    }

    private fun check(cases: List<Case>) {
        cases.forEach { case ->
            val result =
                selector.select(case.candidates, case.wanted, emptySet(), "a", PRIORITY, nowMillis)
            val actual =
                if (result is BackendSelection.Selected) result.backend.id else result.toString()
            assertEquals(case.expected, actual, case.name)
        }
    }

    @Test
    fun `a request is not sent again to a server that refused it`() {
        val result = selector.select(
            listOf(candidate("x")),
            null,
            setOf("x"),
            "a",
            PRIORITY,
            nowMillis
        )
        assertEquals(BackendSelection.NoCapacity, result)
    }

    private companion object {
        const val PRIORITY = 3
    }
}
