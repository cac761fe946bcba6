package mustarddale.session

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import mustarddale.config.Availability
import mustarddale.config.ConfigurationChange.SetDomain
import mustarddale.config.ConfigurationChange.WithdrawKey
import mustarddale.control.ControlRecord.IntentAbandoned
import mustarddale.control.ControlRecord.IntentOpened
import mustarddale.control.ControlRecord.IntentSettled
import mustarddale.control.ControlRecord.OrderAnswered
import mustarddale.control.ControlRecord.OrderProposed
import mustarddale.control.ControlRecord.ResidencyObserved
import mustarddale.control.FakeLog
import mustarddale.control.Fixtures
import mustarddale.dispatch.DispatchRequest
import mustarddale.idempotency.StoredAnswer
import mustarddale.key.Sha256
import mustarddale.memory.HeldArtifact
import mustarddale.memory.OrderKind
import mustarddale.memory.ReportNumber
import mustarddale.rate.SlotLease
import mustarddale.routing.LoadReport
import mustarddale.routing.Warmth

/** Sessions of two instances on the virtual clock, compared line by line with golden files. */
class SessionTest {
    private val lines = mutableListOf<String>()
    private val log = FakeLog().apply { nowMillis = 0 }
    private val one = SessionNode("one", log, lines)
    private val two = SessionNode("two", log, lines)
    private val both = listOf(one, two)

    private fun pass(millis: Long) {
        log.nowMillis += millis
    }

    private fun report(server: String, warmth: Warmth, sequence: Long, vararg ready: String) =
        LoadReport(
            server,
            ReportNumber(
                1,
                sequence
            ),
            warmth, 0, 0, 16, ready.toList(), emptyList(), 0
        )

    private fun start() {
        one.append(Fixtures.replaceProposed())
        both.forEach { it.read() }
        both.forEach { it.keepSlots(liveInstances = 2) }
        both.forEach { node ->
            node.report(report("e1", Warmth.WARM, 1, "m1"))
            node.report(report("e2", Warmth.WARM, 1, "m1"))
        }
    }

    private fun work(tokens: Double, model: String = "m1") =
        DispatchRequest("writer", "yard", model, reservedTokens = tokens)

    @Test
    fun `requests, a race of operators, a withdrawn key and a domain that leaves`() {
        start()
        both.forEach { it.ask(work(500.0)) }
        one.append(Fixtures.changeProposed(SetDomain("north", Availability.OUT), base = 1))
        two.append(Fixtures.changeProposed(SetDomain("south", Availability.OUT), base = 1))
        both.forEach { it.read() }
        both.forEach { it.ask(work(500.0)) }
        two.append(Fixtures.changeProposed(WithdrawKey(Sha256.of(Fixtures.KEY))))
        both.forEach { node ->
            node.read()
            val isKnown = node.state.index.accountByKeyDigest(Sha256.of(Fixtures.KEY)) != null
            node.say("knows the key: $isKnown")
        }
        assertGolden("changes")
    }

    @Test
    fun `a rate is used up, an instance dies and its slots are taken over`() {
        start()
        one.ask(work(1_800.0))
        one.ask(work(1_800.0))
        pass(1_500)
        one.ask(work(600.0))
        one.keepSlots(liveInstances = 2)
        two.say("is killed")
        val leaseMillis = Fixtures.configuration.limits.slotLeaseMillis
        pass(SlotLease.usableLeaseMillis(leaseMillis))
        one.ask(work(1.0))
        one.keepSlots(liveInstances = 1)
        one.report(report("e1", Warmth.WARM, 2, "m1"))
        one.ask(work(1.0))
        pass(
            SlotLease.takeoverDelayMillis(leaseMillis) - SlotLease.usableLeaseMillis(leaseMillis) -
                1
        )
        one.keepSlots(liveInstances = 1)
        pass(1)
        one.keepSlots(liveInstances = 1)
        assertGolden("rates")
    }

    @Test
    fun `the same booking reaches two instances and one of them gives up`() {
        start()
        val open = IntentOpened("booking-1", "body", null)
        one.append(open)
        two.append(open)
        both.forEach { it.read() }
        one.append(IntentSettled("booking-1", StoredAnswer(201, "application/json", "{}")))
        both.forEach { it.read() }
        two.say("replays ${two.state.intents.find("booking-1")?.answer}")
        two.append(open.copy(intentId = "booking-2"))
        two.read()
        two.append(IntentAbandoned("booking-2"))
        one.append(open.copy(intentId = "booking-2"))
        both.forEach { it.read() }
        assertGolden("bookings")
    }

    @Test
    fun `a model is loaded into the last room and an order is lost`() {
        start()
        one.ask(work(10.0, "m2"))
        one.append(ResidencyObserved("e2", ReportNumber(1, 1), 0, listOf(HeldArtifact("m1", 40))))
        one.append(OrderProposed("e2", OrderKind.LOAD, "m2"))
        two.append(OrderProposed("e2", OrderKind.LOAD, "m3"))
        both.forEach { it.read() }
        val order = requireNotNull(one.state.ledger.find("e2", "m2")).orderOffset
        one.say("sends order $order to e2; no answer comes")
        one.append(ResidencyObserved("e2", ReportNumber(1, 2), 0, listOf(HeldArtifact("m1", 40))))
        both.forEach { it.read() }
        one.say("e2 may hold ${one.state.ledger.committedBytes("e2")} of 100 bytes")
        one.append(OrderAnswered("e2", "m2", order, takenAfter = ReportNumber(1, 2)))
        both.forEach { it.read() }
        one.report(report("e2", Warmth.WARM, 2, "m1", "m2"))
        one.ask(work(10.0, "m2"))
        assertGolden("memory")
    }

    private fun assertGolden(name: String) {
        val file = Path.of("src/test/resources/sessions/$name.txt")
        val text = lines.joinToString("\n", postfix = "\n")
        if (System.getProperty("golden.write") != null) Files.writeString(file, text)
        assertEquals(Files.readString(file), text)
    }
}
