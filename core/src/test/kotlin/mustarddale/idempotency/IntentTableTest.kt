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
    private val open = IntentOpened("i", "body", keyTimeMillis = null)
    private val answer = StoredAnswer(201, "application/json", "{}")

    private data class Row(
        val name: String,
        val before: List<Pair<WriterId, ControlRecord>>,
        val record: IntentOpened,
        val expected: ErrorKind?
    )

    private val rows = listOf(
        Row("a new key is taken on", emptyList(), open, null),
        Row(
            "a key in use is not taken on again",
            listOf(Fixtures.firstWriter to open),
            open,
            ErrorKind.IDEMPOTENCY_IN_PROGRESS
        ),
        Row(
            "the same key with another body is refused",
            listOf(Fixtures.firstWriter to open),
            open.copy(bodyDigest = "other"),
            ErrorKind.IDEMPOTENCY_BODY_DIFFERS
        ),
        Row(
            "a settled key is not taken on again",
            listOf(
                Fixtures.firstWriter to open,
                Fixtures.firstWriter to IntentSettled("i", answer)
            ),
            open,
            ErrorKind.IDEMPOTENCY_IN_PROGRESS
        ),
        Row(
            "a key that its writer abandoned is free",
            listOf(Fixtures.firstWriter to open, Fixtures.firstWriter to IntentAbandoned("i")),
            open,
            null
        ),
        Row(
            "a key that somebody else abandoned is not free",
            listOf(Fixtures.firstWriter to open, Fixtures.secondWriter to IntentAbandoned("i")),
            open,
            ErrorKind.IDEMPOTENCY_IN_PROGRESS
        ),
        Row(
            "a settled key cannot be abandoned",
            listOf(
                Fixtures.firstWriter to open,
                Fixtures.firstWriter to IntentSettled("i", answer),
                Fixtures.firstWriter to IntentAbandoned("i")
            ),
            open,
            ErrorKind.IDEMPOTENCY_IN_PROGRESS
        )
    )

    @TestFactory
    fun `decides on a key by what is remembered`(): List<DynamicTest> = rows.map { row ->
        DynamicTest.dynamicTest(row.name) {
            val log = FakeLog()
            log.append(Fixtures.firstWriter, Fixtures.replaceProposed())
            row.before.forEach { (writer, record) -> log.append(writer, record) }
            log.append(Fixtures.secondWriter, row.record)
            val verdict = log.statuses().last()
            val kind = (verdict as? RecordStatus.Rejected)?.refusal?.kind
            assertEquals(row.expected, kind)
        }
    }

    @Test
    fun `a key with a time is refused once it is older than what is remembered`() {
        val limits = Limits(rememberMillis = 60_000)
        val key = "0193a1b2-c3d4-7abc-8def-0123456789ab"
        val madeAt = requireNotNull(IdempotencyKey.timeMillis(key))
        val opened = IntentOpened("i", "body", madeAt)
        val first = IntentTable().open(opened, Fixtures.firstWriter, madeAt, limits)
        val table = assertIs<Outcome.Success<IntentTable>>(first).value
        val later = madeAt + 60_000 + IdempotencyKey.MAX_CLOCK_SKEW_MILLIS + 1
        val second = table.open(opened, Fixtures.secondWriter, later, limits)
        val failure = assertIs<Outcome.Failure>(second)
        assertEquals(ErrorKind.IDEMPOTENCY_KEY_EXPIRED, failure.refusal.kind)
    }

    @Test
    fun `the memory is bounded and a full one refuses instead of forgetting`() {
        val limits = Limits(maxRemembered = 2)
        var table = IntentTable()
        repeat(2) {
            val outcome = table.open(open.copy(intentId = "i$it"), Fixtures.firstWriter, 0, limits)
            table = assertIs<Outcome.Success<IntentTable>>(outcome).value
        }
        val third = table.open(open.copy(intentId = "i3"), Fixtures.firstWriter, 0, limits)
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
    fun `no interleaving runs a booking twice or calls one that ran not run`(@ForAll seed: Long) {
        val run = BookingRun(Random(seed))
        repeat(120) { run.step() }
    }

    @Test
    fun `bookings get through`() {
        val run = BookingRun(Random(5))
        repeat(3_000) { run.step() }
        assertTrue(run.totalRuns > 20, "only ${run.totalRuns} ran")
    }

    /** Instances that race for the same keys over a log that loses and delays appends. */
    private class BookingRun(private val random: RandomGenerator) {
        private val log = FakeLog()
        private val late = mutableListOf<Envelope>()
        private val runs = mutableMapOf<String, Int>()
        private val saidNotRun = mutableSetOf<Attempt>()
        private val nodes = MutableList(3) { Node(WriterId("n$it", "0")) }
        private var restarts = 0
        private var keys = 0
        val totalRuns: Int get() = runs.values.sum()

        init {
            log.append(Fixtures.firstWriter, Fixtures.replaceProposed())
        }

        fun step() {
            val node = nodes[random.nextInt(nodes.size)]
            when (random.nextInt(10)) {
                0, 1 -> node.open("key-${keys - random.nextInt(minOf(keys + 1, 3))}")
                2 -> keys++
                3, 4, 5 -> node.read()
                6 -> node.send()
                7 -> node.giveUp()
                8 -> if (late.isNotEmpty()) log.append(late.removeAt(random.nextInt(late.size)))
                else -> if (random.nextInt(4) == 0) replace(node)
            }
        }

        private fun replace(node: Node) {
            nodes[nodes.indexOf(node)] = Node(WriterId(node.writer.instance, "${++restarts}"))
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
            private val waiting = mutableMapOf<Long, Attempt>()
            private val allowed = mutableListOf<Attempt>()

            fun open(key: String) {
                if (state.intents.find(key) != null) return
                val attempt = Attempt(writer, ++sequence, key)
                waiting[sequence] = attempt
                append(Envelope(writer, sequence, IntentOpened(key, "body", null)))
            }

            fun read() {
                log.records.drop(state.nextOffset.toInt()).forEach { record ->
                    val folded = state.fold(record)
                    state = folded.state
                    val envelope = folded.envelope
                    if (envelope?.writer == writer && folded.status == RecordStatus.Accepted) {
                        took(envelope)
                    }
                }
            }

            private fun took(envelope: Envelope) {
                val opened = envelope.record as? IntentOpened ?: return
                val attempt = waiting.remove(envelope.sequence)
                if (attempt != null) allowed.add(attempt) else abandon(opened.intentId)
            }

            fun send() {
                val attempt = allowed.removeFirstOrNull() ?: return
                check(attempt !in saidNotRun) { "$attempt was said not to run" }
                runs.merge(attempt.key, 1, Int::plus)
                check(runs[attempt.key] == 1) { "${attempt.key} ran ${runs[attempt.key]} times" }
                val settled = IntentSettled(attempt.key, StoredAnswer(201, null, null))
                append(Envelope(writer, ++sequence, settled))
            }

            fun giveUp() {
                val entry = waiting.entries.firstOrNull() ?: return
                waiting.remove(entry.key)
                saidNotRun.add(entry.value)
            }

            private fun abandon(key: String) {
                append(Envelope(writer, ++sequence, IntentAbandoned(key)))
            }
        }
    }
}
