package mustarddale.memory

import java.util.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import mustarddale.control.ControlRecord
import mustarddale.control.ControlRecord.OrderAnswered
import mustarddale.control.ControlRecord.OrderProposed
import mustarddale.control.ControlRecord.ResidencyObserved
import mustarddale.control.FakeLog
import mustarddale.control.Fixtures
import mustarddale.control.RecordStatus
import net.jqwik.api.AfterFailureMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class MemoryLedgerTest {
    @Property(
        seed = "20261204",
        tries = 600,
        shrinking = ShrinkingMode.OFF,
        afterFailure = AfterFailureMode.RANDOM_SEED
    )
    fun `no order of events overcommits the memory of an engine`(@ForAll seed: Long) {
        val simulation = LedgerSimulation(Random(seed))
        repeat(300) { simulation.step() }
    }

    @Test
    fun `loads and unloads take effect despite the faults`() {
        val simulation = LedgerSimulation(Random(3))
        repeat(6_000) { simulation.step() }
        assertTrue(
            simulation.appliedOrders > 300,
            "only ${simulation.appliedOrders} orders were applied"
        )
    }

    private data class Case(
        val name: String,
        val server: String,
        val steps: List<ControlRecord>,
        val committedBytes: Long
    )

    private fun observed(
        server: String,
        sequence: Long,
        appliedFence: Long,
        vararg held: String,
        boot: Long = 1
    ) = ResidencyObserved(
        server,
        ReportNumber(boot, sequence),
        appliedFence,
        held.map { HeldArtifact(it, 40) }
    )

    private fun load(server: String, artifact: String) =
        OrderProposed(server, OrderKind.LOAD, artifact)

    private fun unload(server: String, artifact: String) =
        OrderProposed(server, OrderKind.UNLOAD, artifact)

    /** The configuration is at offset 0, so the first step of a case is at offset 1. */
    private val cases = listOf(
        Case("a load before the first report is refused", "e1", listOf(load("e1", "m1")), 0),
        Case(
            "a load reserves memory when it is recorded",
            "e1",
            listOf(observed("e1", 1, 0), load("e1", "m1")),
            40
        ),
        Case(
            "a third model does not fit beside two loads with unknown outcome",
            "e1",
            listOf(observed("e1", 1, 0), load("e1", "m1"), load("e1", "m2"), load("e1", "m3")),
            80
        ),
        Case(
            "an unload order alone frees no memory",
            "e1",
            listOf(observed("e1", 1, 0, "m1"), unload("e1", "m1")),
            40
        ),
        Case(
            "a report without the unloaded model frees its memory",
            "e1",
            listOf(observed("e1", 1, 0, "m1"), unload("e1", "m1"), observed("e1", 2, 2)),
            0
        ),
        Case(
            "a load that may still take effect stays reserved on an engine without fencing",
            "e2",
            listOf(
                observed("e2", 1, 0),
                load("e2", "m1"),
                observed("e2", 2, 9),
                observed("e2", 1, 0, boot = 2)
            ),
            40
        ),
        Case(
            "a load that is fenced off by a later order is released",
            "e1",
            listOf(observed("e1", 1, 0), load("e1", "m1"), observed("e1", 2, 9)),
            0
        ),
        Case(
            "a load that the engine refused is released",
            "e2",
            listOf(
                observed("e2", 1, 0),
                load("e2", "m1"),
                OrderAnswered("e2", "m1", 2, takenAfter = null)
            ),
            0
        ),
        Case(
            "a report from before a load was accepted does not release it",
            "e2",
            listOf(
                observed("e2", 1, 0),
                load("e2", "m1"),
                OrderAnswered("e2", "m1", 2, takenAfter = ReportNumber(1, 4)),
                observed("e2", 4, 0)
            ),
            40
        ),
        Case(
            "a report made after a load was accepted and without its model releases it",
            "e2",
            listOf(
                observed("e2", 1, 0),
                load("e2", "m1"),
                OrderAnswered("e2", "m1", 2, takenAfter = ReportNumber(1, 4)),
                observed("e2", 5, 0)
            ),
            0
        ),
        Case(
            "a load that takes effect after its unload is reserved again",
            "e2",
            listOf(
                observed("e2", 1, 0, "m1"),
                unload("e2", "m1"),
                observed("e2", 2, 2),
                load("e2", "m1"),
                observed("e2", 3, 2, "m1"),
                unload("e2", "m1"),
                observed("e2", 4, 6),
                OrderAnswered("e2", "m1", 4, takenAfter = ReportNumber(1, 4))
            ),
            40
        ),
        Case(
            "an outdated report changes nothing",
            "e1",
            listOf(observed("e1", 5, 0, "m1"), observed("e1", 4, 0)),
            40
        )
    )

    @TestFactory
    fun `reserves memory for all that may be resident`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val log = FakeLog()
            log.append(Fixtures.firstWriter, Fixtures.replaceProposed())
            case.steps.forEach { log.append(Fixtures.firstWriter, it) }
            assertEquals(case.committedBytes, log.fold().ledger.committedBytes(case.server))
        }
    }

    @Test
    fun `one of two instances that load into the last free memory is refused`() {
        val log = FakeLog()
        log.append(Fixtures.firstWriter, Fixtures.replaceProposed())
        log.append(Fixtures.firstWriter, observed("e1", 1, 0, "m1"))
        log.append(Fixtures.firstWriter, load("e1", "m2"))
        log.append(Fixtures.secondWriter, load("e1", "m3"))
        assertIs<RecordStatus.Rejected>(log.statuses().last())
    }
}
