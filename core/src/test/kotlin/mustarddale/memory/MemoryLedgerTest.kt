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
    fun `no interleaving overcommits an engine`(@ForAll seed: Long) {
        val run = LedgerSimulation(Random(seed))
        repeat(300) { run.step() }
    }

    @Test
    fun `loads and unloads get through when nothing fails for long`() {
        val run = LedgerSimulation(Random(3))
        repeat(6_000) { run.step() }
        assertTrue(run.landed > 300, "only ${run.landed} orders landed")
    }

    private data class Row(
        val name: String,
        val server: String,
        val steps: List<ControlRecord>,
        val committedBytes: Long
    )

    private fun observed(
        server: String,
        sequence: Long,
        fence: Long,
        vararg held: String,
        boot: Long = 1
    ) = ResidencyObserved(
        server,
        ReportNumber(boot, sequence),
        fence,
        held.map {
            HeldArtifact(it, 40)
        }
    )

    private fun load(server: String, artifact: String) =
        OrderProposed(server, OrderKind.LOAD, artifact)

    private fun unload(server: String, artifact: String) =
        OrderProposed(server, OrderKind.UNLOAD, artifact)

    /** The configuration is at offset 0, so the first step of a row is at offset 1. */
    private val rows = listOf(
        Row("nothing is ordered before the first report", "e1", listOf(load("e1", "m1")), 0),
        Row(
            "a load counts before it is sent",
            "e1",
            listOf(observed("e1", 1, 0), load("e1", "m1")),
            40
        ),
        Row(
            "a third model does not fit beside two whose outcome is unknown",
            "e1",
            listOf(observed("e1", 1, 0), load("e1", "m1"), load("e1", "m2"), load("e1", "m3")),
            80
        ),
        Row(
            "an unload frees memory only when a report shows it",
            "e1",
            listOf(observed("e1", 1, 0, "m1"), unload("e1", "m1")),
            40
        ),
        Row(
            "a report that shows it unloaded frees its memory",
            "e1",
            listOf(observed("e1", 1, 0, "m1"), unload("e1", "m1"), observed("e1", 2, 2)),
            0
        ),
        Row(
            "a load that may still land stays counted on an engine that ignores fencing",
            "e2",
            listOf(
                observed("e2", 1, 0),
                load("e2", "m1"),
                observed("e2", 2, 9),
                observed("e2", 1, 0, boot = 2)
            ),
            40
        ),
        Row(
            "a load that a later order has fenced off is dropped",
            "e1",
            listOf(observed("e1", 1, 0), load("e1", "m1"), observed("e1", 2, 9)),
            0
        ),
        Row(
            "a load that the engine refused is dropped",
            "e2",
            listOf(
                observed("e2", 1, 0),
                load("e2", "m1"),
                OrderAnswered("e2", "m1", 2, takenAfter = null)
            ),
            0
        ),
        Row(
            "a report from before a load was taken does not show that it is gone",
            "e2",
            listOf(
                observed("e2", 1, 0),
                load("e2", "m1"),
                OrderAnswered("e2", "m1", 2, takenAfter = ReportNumber(1, 4)),
                observed("e2", 4, 0)
            ),
            40
        ),
        Row(
            "a report from after a load was taken shows that it is gone",
            "e2",
            listOf(
                observed("e2", 1, 0),
                load("e2", "m1"),
                OrderAnswered("e2", "m1", 2, takenAfter = ReportNumber(1, 4)),
                observed("e2", 5, 0)
            ),
            0
        ),
        Row(
            "a load that lands behind its unload counts again",
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
        Row(
            "an old report changes nothing",
            "e1",
            listOf(observed("e1", 5, 0, "m1"), observed("e1", 4, 0)),
            40
        )
    )

    @TestFactory
    fun `counts what may be resident`(): List<DynamicTest> = rows.map { row ->
        DynamicTest.dynamicTest(row.name) {
            val log = FakeLog()
            log.append(Fixtures.firstWriter, Fixtures.replaceProposed())
            row.steps.forEach { log.append(Fixtures.firstWriter, it) }
            assertEquals(row.committedBytes, log.fold().ledger.committedBytes(row.server))
        }
    }

    @Test
    fun `of two instances that want the last room one is refused`() {
        val log = FakeLog()
        log.append(Fixtures.firstWriter, Fixtures.replaceProposed())
        log.append(Fixtures.firstWriter, observed("e1", 1, 0, "m1"))
        log.append(Fixtures.firstWriter, load("e1", "m2"))
        log.append(Fixtures.secondWriter, load("e1", "m3"))
        assertIs<RecordStatus.Rejected>(log.statuses().last())
    }
}
