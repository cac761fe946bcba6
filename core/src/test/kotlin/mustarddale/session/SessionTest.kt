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

/** Runs two instances through scenarios on a virtual clock and compares the log to golden files. */
class SessionTest {
    private val lines = mutableListOf<String>()
    private val log = FakeLog().apply { nowMillis = 0 }
    private val one = SessionNode("one", log, lines)
    private val two = SessionNode("two", log, lines)
    private val both = listOf(one, two)

    private fun advance(millis: Long) {
        log.nowMillis += millis
    }

    private fun loadReport(server: String, warmth: Warmth, sequence: Long, vararg ready: String) =
        LoadReport(
            server,
            ReportNumber(1, sequence),
            warmth,
            0,
            0,
            16,
            ready.toList(),
            emptyList(),
            0
        )

    private fun startInstances() {
        one.append(Fixtures.replaceProposed())
        both.forEach { it.read() }
        both.forEach { it.updateSlots(liveInstances = 2) }
        both.forEach { node ->
            node.applyReport(loadReport("e1", Warmth.WARM, 1, "m1"))
            node.applyReport(loadReport("e2", Warmth.WARM, 1, "m1"))
        }
    }

    private fun request(tokens: Double, model: String = "m1") =
        DispatchRequest("writer", "yard", model, reservedTokens = tokens)

    @Test
    fun `requests, conflicting changes, a withdrawn key and a failure domain taken out`() {
        startInstances()
        both.forEach { it.admit(request(500.0)) }
        one.append(Fixtures.changeProposed(SetDomain("north", Availability.OUT), base = 1))
        two.append(Fixtures.changeProposed(SetDomain("south", Availability.OUT), base = 1))
        both.forEach { it.read() }
        both.forEach { it.admit(request(500.0)) }
        two.append(Fixtures.changeProposed(WithdrawKey(Sha256.of(Fixtures.KEY))))
        both.forEach { node ->
            node.read()
            val isKnown = node.state.index.accountByKeyDigest(Sha256.of(Fixtures.KEY)) != null
            node.trace("accepts the key: $isKnown")
        }
        assertGolden("changes")
    }

    @Test
    fun `a rate limit is exhausted, and a crashed instance loses its slots to the other`() {
        startInstances()
        one.admit(request(1_800.0))
        one.admit(request(1_800.0))
        advance(1_500)
        one.admit(request(600.0))
        one.updateSlots(liveInstances = 2)
        two.trace("is killed")
        val leaseMillis = Fixtures.configuration.limits.slotLeaseMillis
        advance(SlotLease.usableLeaseMillis(leaseMillis))
        one.admit(request(1.0))
        one.updateSlots(liveInstances = 1)
        one.applyReport(loadReport("e1", Warmth.WARM, 2, "m1"))
        one.admit(request(1.0))
        advance(
            SlotLease.takeoverDelayMillis(leaseMillis) -
                SlotLease.usableLeaseMillis(leaseMillis) - 1
        )
        one.updateSlots(liveInstances = 1)
        advance(1)
        one.updateSlots(liveInstances = 1)
        assertGolden("rates")
    }

    @Test
    fun `one booking reaches two instances, and another is abandoned and then retried`() {
        startInstances()
        val intentOpened = IntentOpened("booking-1", "body", null)
        one.append(intentOpened)
        two.append(intentOpened)
        both.forEach { it.read() }
        one.append(IntentSettled("booking-1", StoredAnswer(201, "application/json", "{}")))
        both.forEach { it.read() }
        two.trace("replays ${two.state.intents.find("booking-1")?.answer}")
        two.append(intentOpened.copy(intentId = "booking-2"))
        two.read()
        two.append(IntentAbandoned("booking-2"))
        one.append(intentOpened.copy(intentId = "booking-2"))
        both.forEach { it.read() }
        assertGolden("bookings")
    }

    @Test
    fun `a model is loaded into the remaining memory after the response to its order is lost`() {
        startInstances()
        one.admit(request(10.0, "m2"))
        one.append(ResidencyObserved("e2", ReportNumber(1, 1), 0, listOf(HeldArtifact("m1", 40))))
        one.append(OrderProposed("e2", OrderKind.LOAD, "m2"))
        two.append(OrderProposed("e2", OrderKind.LOAD, "m3"))
        both.forEach { it.read() }
        val orderOffset = requireNotNull(one.state.ledger.find("e2", "m2")).orderOffset
        one.trace("sends order $orderOffset to e2 and receives no response")
        one.append(ResidencyObserved("e2", ReportNumber(1, 2), 0, listOf(HeldArtifact("m1", 40))))
        both.forEach { it.read() }
        one.trace("e2 has ${one.state.ledger.committedBytes("e2")} of 100 bytes committed")
        one.append(OrderAnswered("e2", "m2", orderOffset, takenAfter = ReportNumber(1, 2)))
        both.forEach { it.read() }
        one.applyReport(loadReport("e2", Warmth.WARM, 2, "m1", "m2"))
        one.admit(request(10.0, "m2"))
        assertGolden("memory")
    }

    private fun assertGolden(name: String) {
        val file = Path.of("src/test/resources/sessions/$name.txt")
        val text = lines.joinToString("\n", postfix = "\n")
        if (System.getProperty("golden.write") != null) Files.writeString(file, text)
        assertEquals(Files.readString(file), text)
    }
}
