package mustarddale.dispatch

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import mustarddale.config.Availability
import mustarddale.config.Configuration
import mustarddale.config.ConfigurationIndex
import mustarddale.control.Fixtures
import mustarddale.dispatch.AdmissionDecision.Admitted
import mustarddale.dispatch.AdmissionDecision.InsufficientTokens
import mustarddale.dispatch.AdmissionDecision.NeedsColdStartPermit
import mustarddale.dispatch.AdmissionDecision.NotResident
import mustarddale.dispatch.AdmissionDecision.Refused
import mustarddale.memory.ReportNumber
import mustarddale.rate.SlotLease
import mustarddale.routing.LoadReport
import mustarddale.routing.Warmth
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class DispatchStateTest {
    private val now = 1_000L
    private val work = DispatchRequest("writer", "yard", model = "m1", reservedTokens = 100.0)
    private val allSlots = SlotLease().replaceSlots((0 until 6).toSet(), now, 60_000)

    private fun report(
        server: String,
        warmth: Warmth = Warmth.WARM,
        ready: List<String> = listOf("m1"),
        running: Int = 0,
        sequence: Long = 1
    ) = LoadReport(
        server,
        ReportNumber(
            1,
            sequence
        ),
        warmth, running, 0, BATCH, ready, emptyList(), 0
    )

    private fun dispatch(
        vararg reports: LoadReport,
        configuration: Configuration = Fixtures.configuration,
        lease: SlotLease = allSlots
    ): DispatchState {
        val start = DispatchState()
            .applyConfiguration(ConfigurationIndex(configuration), now)
            .applyLease(lease, newSlots = (0 until 6).toSet(), nowMillis = now)
        return reports.fold(start) { dispatch, report ->
            dispatch.withServers { it.applyReport(report, now) }
        }
    }

    private fun Configuration.domainOut(name: String): Configuration = copy(
        failureDomains = failureDomains.map {
            if (it.name == name) it.copy(state = Availability.OUT) else it
        }
    )

    private fun Configuration.serverOut(name: String): Configuration = copy(
        backendServers = backendServers.map {
            if (it.name == name) it.copy(state = Availability.OUT) else it
        }
    )

    private val both = arrayOf(report("e1"), report("e2"))
    private val out = Fixtures.configuration.domainOut("north")
    private val rows: List<Triple<String, DispatchState, (AdmissionDecision) -> Boolean>> = listOf(
        Triple("a resident model is served", dispatch(*both)) { it is Admitted },
        Triple("a domain that is out gets nothing", dispatch(*both, configuration = out)) {
            it == Admitted("e2")
        },
        Triple(
            "a leaving server gets nothing",
            dispatch(*both, configuration = Fixtures.configuration.serverOut("e2"))
        ) { it == Admitted("e1") },
        Triple(
            "no server in at all is a refusal",
            dispatch(*both, configuration = out.serverOut("e2"))
        ) { it is Refused },
        Triple("a model that is nowhere must be loaded", dispatch(report("e1", ready = listOf()))) {
            it == NotResident("writer", "m1")
        },
        Triple(
            "without slots there are no tokens",
            dispatch(*both, lease = SlotLease())
        ) { it is InsufficientTokens },
        Triple(
            "a warm server goes before a cold one",
            dispatch(report("e1", Warmth.COLD), report("e2"))
        ) { it == Admitted("e2") }
    )

    @TestFactory
    fun `decides on a request`(): List<DynamicTest> = rows.map { (name, dispatch, isExpected) ->
        DynamicTest.dynamicTest(name) {
            val decision = dispatch.admit(work, now, randomValue = 1).decision
            assertTrue(isExpected(decision), "$decision")
        }
    }

    @Test
    fun `requests that ended since the last report make room again`() {
        var dispatch = dispatch(report("e1"))
        repeat(1_000) {
            val decided = dispatch.admit(work.copy(reservedTokens = 0.0), now, it)
            assertEquals(Admitted("e1"), decided.decision)
            dispatch = decided.state.withServers { servers -> servers.recordFinish("e1") }
        }
    }

    @Test
    fun `no more is sent than the batch and a short queue behind it take`() {
        var dispatch = dispatch(report("e1", running = 4))
        val decisions = (0 until BATCH * 2).map {
            val decided = dispatch.admit(work.copy(reservedTokens = 0.0), now, it)
            dispatch = decided.state
            decided.decision
        }
        assertEquals(BATCH + BATCH / 4 - 4, decisions.count { it is Admitted })
        assertIs<Refused>(decisions.last())
    }

    @Test
    fun `a holder frozen past its lease spends nothing when it wakes`() {
        val late = now + 60_000
        val woken = dispatch(*both).withServers { it.applyReport(report("e1", sequence = 2), late) }
        assertIs<InsufficientTokens>(woken.admit(work, late, randomValue = 1).decision)
    }

    @Test
    fun `an old report makes a server count as cold`() {
        val late = now + ServerView.REPORT_VALID_MILLIS + 1
        val dispatch = dispatch(report("e1"))
        val first = dispatch.admit(work, late, randomValue = 1)
        assertEquals(Admitted("e1"), first.decision)
        assertIs<NeedsColdStartPermit>(first.state.admit(work, late, randomValue = 1).decision)
    }

    @Test
    fun `a fleet sends a cold server no more than it can bear, loans included`() {
        val servers = Fixtures.configuration.backendServers.map { it.copy(coldRequests = 2) }
        val cold = Fixtures.configuration.copy(backendServers = servers)
        val nodes = (0 until 6).map { slot ->
            val lease = SlotLease().replaceSlots(setOf(slot), now, 60_000)
            dispatch(report("e1", Warmth.COLD), configuration = cold, lease = lease)
        }.toMutableList()
        var inFlight = 0
        repeat(60) { round ->
            val at = round % nodes.size
            val decided = nodes[at].admit(work, now, round)
            nodes[at] = decided.state
            if (decided.decision is Admitted) inFlight++
            if (decided.decision is NeedsColdStartPermit) {
                val lender = nodes.indices.firstOrNull { nodes[it].lendPermit("e1", now).decision }
                if (lender != null) {
                    nodes[lender] = nodes[lender].lendPermit("e1", now).state
                    val loaned = nodes[at].admitWithBorrowedPermit(work, "e1", now)
                    nodes[at] = loaned.state
                    if (loaned.decision is Admitted) inFlight++
                }
            }
            assertTrue(inFlight <= 2, "$inFlight requests at a server that bears 2")
        }
        assertEquals(2, inFlight)
    }

    private companion object {
        const val BATCH = 16
    }
}
