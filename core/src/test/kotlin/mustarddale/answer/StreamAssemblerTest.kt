package mustarddale.answer

import java.util.Random
import kotlin.test.assertEquals
import net.jqwik.api.AfterFailureMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class StreamAssemblerTest {
    private fun frame(offset: Long, id: String = "r", isLast: Boolean = false, tokens: Int = 1) =
        StreamFrame(id, offset, tokens, "t$offset", isLast)

    private data class Row(val name: String, val frame: StreamFrame, val expected: FrameDecision)

    private val atTwo = StreamAssembler("r", nextOffset = 2)
    private val rows = listOf(
        Row(
            "the next frame is delivered",
            frame(2),
            FrameDecision.Deliver(atTwo.copy(nextOffset = 3))
        ),
        Row("a repeated frame is dropped", frame(1), FrameDecision.Drop),
        Row("a frame of another request is dropped", frame(2, "other"), FrameDecision.Drop),
        Row("a gap names the first missing token", frame(4), FrameDecision.Gap(2)),
        Row(
            "the last frame completes the answer",
            frame(2, isLast = true, tokens = 0),
            FrameDecision.Deliver(atTwo.copy(isComplete = true))
        ),
        Row(
            "a last frame that came too early is a gap",
            frame(3, isLast = true),
            FrameDecision.Gap(2)
        )
    )

    @TestFactory
    fun `decides on frames by request and offset`(): List<DynamicTest> = rows.map { row ->
        DynamicTest.dynamicTest(row.name) { assertEquals(row.expected, atTwo.accept(row.frame)) }
    }

    @Property(
        seed = "20261204",
        tries = 500,
        shrinking = ShrinkingMode.OFF,
        afterFailure = AfterFailureMode.RANDOM_SEED
    )
    fun `crossed, repeated and lost frames give the whole answer in order`(@ForAll seed: Long) {
        val random = Random(seed)
        val length = 1L + random.nextInt(30)
        val wire = ArrayDeque<StreamFrame>()
        var assembler = StreamAssembler("r")
        val delivered = mutableListOf<Long>()
        fun resume(from: Long) {
            wire.clear()
            (from..length).forEach {
                wire.addLast(
                    frame(
                        it,
                        isLast = it == length,
                        tokens = if (it ==
                            length
                        ) {
                            0
                        } else {
                            1
                        }
                    )
                )
            }
            if (random.nextBoolean()) {
                wire.add(random.nextInt(wire.size + 1), frame(random.nextLong(length)))
            }
            if (random.nextBoolean()) wire.add(random.nextInt(wire.size + 1), frame(0, "other"))
            if (wire.size > 2 && random.nextInt(3) == 0) wire.removeAt(random.nextInt(wire.size))
        }
        resume(0)
        while (!assembler.isComplete) {
            val next = wire.removeFirstOrNull()
            val verdict = next?.let(assembler::accept) ?: FrameDecision.Gap(assembler.nextOffset)
            when (verdict) {
                is FrameDecision.Deliver -> {
                    delivered.add(assembler.nextOffset)
                    assembler = verdict.nextAssembler
                }

                is FrameDecision.Gap -> resume(verdict.fromOffset)

                is FrameDecision.Drop -> Unit
            }
        }
        assertEquals((0..length).toList(), delivered)
    }
}
