package mustarddale.placement

import kotlin.test.assertEquals
import mustarddale.config.Availability
import mustarddale.control.ControlRecord
import mustarddale.control.ControlRecord.OrderProposed
import mustarddale.control.ControlRecord.ResidencyObserved
import mustarddale.control.ControlState
import mustarddale.control.FakeLog
import mustarddale.control.Fixtures
import mustarddale.memory.HeldArtifact
import mustarddale.memory.OrderKind
import mustarddale.memory.OrderKind.LOAD
import mustarddale.memory.OrderKind.UNLOAD
import mustarddale.memory.ReportNumber
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class PlacementPlannerTest {
    private fun holds(server: String, vararg models: String) = ResidencyObserved(
        server,
        ReportNumber(1, 1),
        0,
        models.map { HeldArtifact(it, 40) }
    )

    private fun order(kind: OrderKind, server: String, model: String) =
        OrderProposed(server, kind, model)

    private fun state(vararg records: ControlRecord, domainOut: String? = null): ControlState {
        val log = FakeLog()
        val domains = Fixtures.configuration.failureDomains.map {
            if (it.name == domainOut) it.copy(state = Availability.OUT) else it
        }
        val configuration = Fixtures.configuration.copy(failureDomains = domains)
        log.append(Fixtures.firstWriter, Fixtures.replaceProposed(configuration))
        records.forEach { log.append(Fixtures.firstWriter, it) }
        return log.fold()
    }

    private fun placement(state: ControlState) = PlacementPlanner(state.index, state.ledger) {
        mapOf("m1" to 10L, "m2" to 20L, "m3" to 30L)[it]
    }

    private data class Case(val name: String, val state: ControlState, val expected: OrderProposed?)

    private val loadCases = listOf(
        Case(
            "loads into the engine with the most free memory",
            state(holds("e1", "m1"), holds("e2")),
            order(LOAD, "e2", "m3")
        ),
        Case(
            "waits while a load is in progress",
            state(holds("e1", "m1"), holds("e2"), order(LOAD, "e2", "m3")),
            null
        ),
        Case(
            "loads no model into a domain out of service",
            state(holds("e1"), holds("e2", "m2"), domainOut = "north"),
            order(LOAD, "e2", "m3")
        ),
        Case(
            "without free memory, unloads a model that has another replica",
            state(holds("e1", "m1", "m2"), holds("e2", "m2")).let { withLoaded(it, "e2", "m1") },
            order(UNLOAD, "e1", "m1")
        ),
        Case(
            "waits while an unload is in progress",
            state(
                holds("e1", "m1", "m2"),
                holds("e2", "m1", "m2"),
                order(UNLOAD, "e1", "m1")
            ),
            null
        )
    )

    private fun withLoaded(state: ControlState, server: String, model: String): ControlState {
        val record = ResidencyObserved(
            server,
            ReportNumber(1, 2),
            0,
            listOf(HeldArtifact("m2", 40), HeldArtifact(model, 40))
        )
        return state.copy(ledger = state.ledger.applyReport(record, state.index))
    }

    @TestFactory
    fun `orders the load of a requested model`(): List<DynamicTest> = loadCases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            assertEquals(case.expected, placement(case.state).nextOrder("writer", "m3"))
        }
    }

    private val replicaCases = listOf(
        Case(
            "a model without a replica comes first",
            state(holds("e1", "m1", "m2"), holds("e2", "m1")),
            order(LOAD, "e2", "m3")
        ),
        Case(
            "then a second replica in another domain",
            state(holds("e1", "m1", "m2"), holds("e2", "m3")),
            order(LOAD, "e2", "m1")
        ),
        Case(
            "no model is unloaded for a second replica",
            state(holds("e1", "m1", "m2"), holds("e2", "m3", "m1")),
            null
        ),
        Case(
            "replicas in a domain out of service do not count",
            state(holds("e1", "m1", "m2"), holds("e2", "m3"), domainOut = "north"),
            order(LOAD, "e2", "m1")
        )
    )

    @TestFactory
    fun `spreads models over failure domains`(): List<DynamicTest> = replicaCases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            assertEquals(case.expected, placement(case.state).nextReplicaOrder("writer"))
        }
    }
}
