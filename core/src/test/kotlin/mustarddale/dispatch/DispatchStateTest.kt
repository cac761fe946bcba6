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
    private val nowMillis = 1_000L
    private val request = DispatchRequest("writer", "yard", model = "m1", reservedTokens = 100.0)
    private val allSlots = SlotLease().replaceSlots((0 until 6).toSet(), nowMillis, 60_000)

    private fun report(
        server: String,
        warmth: Warmth = Warmth.WARM,
        ready: List<String> = listOf("m1"),
        running: Int = 0,
        sequence: Long = 1
    ) = LoadReport(
        server,
        ReportNumber(1, sequence),
        warmth, running, 0, BATCH, ready, emptyList(), 0
    )

    private fun dispatch(
        vararg reports: LoadReport,
        configuration: Configuration = Fixtures.configuration,
        lease: SlotLease = allSlots
    ): DispatchState {
        val start = DispatchState()
            .applyConfiguration(ConfigurationIndex(configuration), nowMillis)
            .applyLease(lease, newSlots = (0 until 6).toSet(), nowMillis = nowMillis)
        return reports.fold(start) { dispatch, report ->
            dispatch.withServers { it.applyReport(report, nowMillis) }
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

    private val bothWarm = arrayOf(report("e1"), report("e2"))
    private val northOut = Fixtures.configuration.domainOut("north")
    private val cases: List<Triple<String, DispatchState, (AdmissionDecision) -> Boolean>> = listOf(
        Triple("a resident model is served", dispatch(*bothWarm)) { it is Admitted },
        Triple(
            "a server in a domain out of service gets no request",
            dispatch(*bothWarm, configuration = northOut)
        ) {
            it == Admitted("e2")
        },
        Triple(
            "a server out of service gets no request",
            dispatch(*bothWarm, configuration = Fixtures.configuration.serverOut("e2"))
        ) { it == Admitted("e1") },
        Triple(
            "without an available server the request is refused",
            dispatch(*bothWarm, configuration = northOut.serverOut("e2"))
        ) { it is Refused },
        Triple(
            "a model that is not resident must be loaded",
            dispatch(report("e1", ready = listOf()))
        ) {
            it == NotResident("writer", "m1")
        },
        Triple(
            "without rate slots there are no tokens",
            dispatch(*bothWarm, lease = SlotLease())
        ) { it is InsufficientTokens },
        Triple(
            "a warm server is preferred over a cold one",
            dispatch(report("e1", Warmth.COLD), report("e2"))
        ) { it == Admitted("e2") }
    )

    @TestFactory
    fun `selects a server or states why the request cannot be sent`(): List<DynamicTest> =
        cases.map { (name, dispatch, isExpected) ->
            DynamicTest.dynamicTest(name) {
                val decision = dispatch.admit(request, nowMillis, randomValue = 1).decision
                assertTrue(isExpected(decision), "$decision")
            }
        }

    @Test
    fun `requests that ended since the last report free capacity`() {
        var dispatch = dispatch(report("e1"))
        repeat(1_000) {
            val decided = dispatch.admit(request.copy(reservedTokens = 0.0), nowMillis, it)
            assertEquals(Admitted("e1"), decided.decision)
            dispatch = decided.state.withServers { servers -> servers.recordFinish("e1") }
        }
    }

    @Test
    fun `no more requests are sent than fit into the batch and a short queue`() {
        var dispatch = dispatch(report("e1", running = 4))
        val decisions = (0 until BATCH * 2).map {
            val decided = dispatch.admit(request.copy(reservedTokens = 0.0), nowMillis, it)
            dispatch = decided.state
            decided.decision
        }
        assertEquals(BATCH + BATCH / 4 - 4, decisions.count { it is Admitted })
        assertIs<Refused>(decisions.last())
    }

    @Test
    fun `an instance suspended beyond its lease spends no tokens when it resumes`() {
        val lateMillis = nowMillis + 60_000
        val resumed = dispatch(*bothWarm)
            .withServers { it.applyReport(report("e1", sequence = 2), lateMillis) }
        assertIs<InsufficientTokens>(resumed.admit(request, lateMillis, randomValue = 1).decision)
    }

    @Test
    fun `a server with an outdated report counts as cold`() {
        val lateMillis = nowMillis + ServerView.REPORT_VALID_MILLIS + 1
        val dispatch = dispatch(report("e1"))
        val first = dispatch.admit(request, lateMillis, randomValue = 1)
        assertEquals(Admitted("e1"), first.decision)
        assertIs<NeedsColdStartPermit>(
            first.state.admit(request, lateMillis, randomValue = 1).decision
        )
    }

    @Test
    fun `all instances together respect a cold server's limit, lent permits included`() {
        val servers = Fixtures.configuration.backendServers.map { it.copy(coldRequests = 2) }
        val cold = Fixtures.configuration.copy(backendServers = servers)
        val instances = (0 until 6).map { slot ->
            val lease = SlotLease().replaceSlots(setOf(slot), nowMillis, 60_000)
            dispatch(report("e1", Warmth.COLD), configuration = cold, lease = lease)
        }.toMutableList()
        var inFlight = 0
        repeat(60) { round ->
            val index = round % instances.size
            val decided = instances[index].admit(request, nowMillis, round)
            instances[index] = decided.state
            if (decided.decision is Admitted) inFlight++
            if (decided.decision is NeedsColdStartPermit) {
                val lender = instances.indices
                    .firstOrNull { instances[it].lendPermit("e1", nowMillis).decision }
                if (lender != null) {
                    instances[lender] = instances[lender].lendPermit("e1", nowMillis).state
                    val admitted =
                        instances[index].admitWithBorrowedPermit(request, "e1", nowMillis)
                    instances[index] = admitted.state
                    if (admitted.decision is Admitted) inFlight++
                }
            }
            assertTrue(inFlight <= 2, "$inFlight requests in flight at a server with 2 permits")
        }
        assertEquals(2, inFlight)
    }

    private companion object {
        const val BATCH = 16
    }
}
