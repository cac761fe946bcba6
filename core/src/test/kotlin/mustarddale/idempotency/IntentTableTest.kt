package mustarddale.idempotency

import java.util.Random
import java.util.random.RandomGenerator
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import mustarddale.config.Limits
import mustarddale.control.ControlRecord
import mustarddale.control.ControlRecord.IntentAbandoned
import mustarddale.control.ControlRecord.IntentOpened
import mustarddale.control.ControlRecord.IntentSettled
import mustarddale.control.ControlState
import mustarddale.control.Envelope
import mustarddale.control.FakeLog
import mustarddale.control.Fixtures
import mustarddale.control.RecordStatus
import mustarddale.control.WriterId
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import net.jqwik.api.AfterFailureMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class IntentTableTest {
    private val opened = IntentOpened("i", "body", keyTimeMillis = null)
    private val answer = StoredAnswer(201, "application/json", "{}")

    private data class Case(
        val name: String,
        val before: List<Pair<WriterId, ControlRecord>>,
        val record: IntentOpened,
        val expected: ErrorKind?
    )

    private val cases = listOf(
        Case("a new key is accepted", emptyList(), opened, null),
        Case(
            "a key in use is rejected",
            listOf(Fixtures.firstWriter to opened),
            opened,
            ErrorKind.IDEMPOTENCY_IN_PROGRESS
        ),
        Case(
            "a key used with a different body is rejected",
            listOf(Fixtures.firstWriter to opened),
            opened.copy(bodyDigest = "other"),
            ErrorKind.IDEMPOTENCY_BODY_DIFFERS
        ),
        Case(
            "a settled key is rejected",
            listOf(
                Fixtures.firstWriter to opened,
                Fixtures.firstWriter to IntentSettled("i", answer)
            ),
            opened,
            ErrorKind.IDEMPOTENCY_IN_PROGRESS
        ),
        Case(
            "a key abandoned by its writer is accepted",
            listOf(Fixtures.firstWriter to opened, Fixtures.firstWriter to IntentAbandoned("i")),
            opened,
            null
        ),
        Case(
            "a key abandoned by another writer is rejected",
            listOf(Fixtures.firstWriter to opened, Fixtures.secondWriter to IntentAbandoned("i")),
            opened,
            ErrorKind.IDEMPOTENCY_IN_PROGRESS
        ),
        Case(
            "a settled key cannot be abandoned",
            listOf(
                Fixtures.firstWriter to opened,
                Fixtures.firstWriter to IntentSettled("i", answer),
                Fixtures.firstWriter to IntentAbandoned("i")
            ),
            opened,
            ErrorKind.IDEMPOTENCY_IN_PROGRESS
        )
    )

    @TestFactory
    fun `accepts or rejects a key by the stored intents`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val log = FakeLog()
            log.append(Fixtures.firstWriter, Fixtures.replaceProposed())
            case.before.forEach { (writer, record) -> log.append(writer, record) }
            log.append(Fixtures.secondWriter, case.record)
            val status = log.statuses().last()
            val kind = (status as? RecordStatus.Rejected)?.refusal?.kind
            assertEquals(case.expected, kind)
        }
    }

    @Test
    fun `a key with a timestamp before the retention period is rejected as expired`() {
        val limits = Limits(rememberMillis = 60_000)
        val key = "0193a1b2-c3d4-7abc-8def-0123456789ab"
        val keyTimeMillis = requireNotNull(IdempotencyKey.timeMillis(key))
        val openedWithTime = IntentOpened("i", "body", keyTimeMillis)
        val first = IntentTable().open(openedWithTime, Fixtures.firstWriter, keyTimeMillis, limits)
        val table = assertIs<Outcome.Success<IntentTable>>(first).value
        val expiredAtMillis = keyTimeMillis + 60_000 + IdempotencyKey.MAX_CLOCK_SKEW_MILLIS + 1
        val second = table.open(openedWithTime, Fixtures.secondWriter, expiredAtMillis, limits)
        val failure = assertIs<Outcome.Failure>(second)
        assertEquals(ErrorKind.IDEMPOTENCY_KEY_EXPIRED, failure.refusal.kind)
    }

    @Test
    fun `a full table rejects new intents and keeps the stored ones`() {
        val limits = Limits(maxRemembered = 2)
        var table = IntentTable()
        repeat(2) {
            val result = table.open(opened.copy(intentId = "i$it"), Fixtures.firstWriter, 0, limits)
            table = assertIs<Outcome.Success<IntentTable>>(result).value
        }
        val third = table.open(opened.copy(intentId = "i3"), Fixtures.firstWriter, 0, limits)
        val failure = assertIs<Outcome.Failure>(third)
        assertEquals(ErrorKind.IDEMPOTENCY_TABLE_FULL, failure.refusal.kind)
        assertEquals(2, table.size)
    }

    @Property(
        seed = "20261204",
        tries = 600,
        shrinking = ShrinkingMode.OFF,
        afterFailure = AfterFailureMode.RANDOM_SEED
    )
    fun `no interleaving runs a booking twice or runs one reported as not run`(@ForAll seed: Long) {
        val simulation = BookingSimulation(Random(seed))
        repeat(120) { simulation.step() }
    }

    @Test
    fun `bookings run despite lost and delayed appends`() {
        val simulation = BookingSimulation(Random(5))
        repeat(3_000) { simulation.step() }
        assertTrue(simulation.totalRuns > 20, "only ${simulation.totalRuns} bookings ran")
    }

    /** Instances that race for the same keys over a log that loses, delays and repeats appends. */
    private class BookingSimulation(private val random: RandomGenerator) {
        private val log = FakeLog()

        /** Appends that have not reached the log yet. */
        private val late = mutableListOf<Envelope>()
        private val runs = mutableMapOf<String, Int>()
        private val reportedNotRun = mutableSetOf<Attempt>()
        private val nodes = MutableList(3) { Node(WriterId("n$it", "0")) }
        private var restartCount = 0
        private var keyCount = 0
        val totalRuns: Int get() = runs.values.sum()

        init {
            log.append(Fixtures.firstWriter, Fixtures.replaceProposed())
        }

        fun step() {
            val node = nodes[random.nextInt(nodes.size)]
            when (random.nextInt(10)) {
                0, 1 -> node.open("key-${keyCount - random.nextInt(minOf(keyCount + 1, 3))}")
                2 -> keyCount++
                3, 4, 5 -> node.read()
                6 -> node.send()
                7 -> node.reportNotRun()
                8 -> if (late.isNotEmpty()) log.append(late.removeAt(random.nextInt(late.size)))
                else -> if (random.nextInt(4) == 0) restart(node)
            }
        }

        private fun restart(node: Node) {
            nodes[nodes.indexOf(node)] = Node(WriterId(node.writer.instance, "${++restartCount}"))
        }

        private fun append(envelope: Envelope) {
            when (random.nextInt(6)) {
                0 -> late.add(envelope)

                1 -> {
                    log.append(envelope)
                    late.add(envelope)
                }

                2 -> Unit

                else -> log.append(envelope)
            }
        }

        private data class Attempt(val writer: WriterId, val sequence: Long, val key: String)

        private inner class Node(val writer: WriterId) {
            private var state = ControlState.EMPTY
            private var sequence = 0L
            private val pendingAttempts = mutableMapOf<Long, Attempt>()
            private val acceptedAttempts = mutableListOf<Attempt>()

            fun open(key: String) {
                if (state.intents.find(key) != null) return
                val attempt = Attempt(writer, ++sequence, key)
                pendingAttempts[sequence] = attempt
                append(Envelope(writer, sequence, IntentOpened(key, "body", null)))
            }

            fun read() {
                log.records.drop(state.nextOffset.toInt()).forEach { record ->
                    val folded = state.fold(record)
                    state = folded.state
                    val envelope = folded.envelope
                    if (envelope?.writer == writer && folded.status == RecordStatus.Accepted) {
                        handleAccepted(envelope)
                    }
                }
            }

            private fun handleAccepted(envelope: Envelope) {
                val opened = envelope.record as? IntentOpened ?: return
                val attempt = pendingAttempts.remove(envelope.sequence)
                if (attempt != null) acceptedAttempts.add(attempt) else abandon(opened.intentId)
            }

            fun send() {
                val attempt = acceptedAttempts.removeFirstOrNull() ?: return
                check(attempt !in reportedNotRun) { "$attempt was reported as not run" }
                runs.merge(attempt.key, 1, Int::plus)
                check(runs[attempt.key] == 1) { "${attempt.key} ran ${runs[attempt.key]} times" }
                val settled = IntentSettled(attempt.key, StoredAnswer(201, null, null))
                append(Envelope(writer, ++sequence, settled))
            }

            fun reportNotRun() {
                val entry = pendingAttempts.entries.firstOrNull() ?: return
                pendingAttempts.remove(entry.key)
                reportedNotRun.add(entry.value)
            }

            private fun abandon(key: String) {
                append(Envelope(writer, ++sequence, IntentAbandoned(key)))
            }
        }
    }
}
