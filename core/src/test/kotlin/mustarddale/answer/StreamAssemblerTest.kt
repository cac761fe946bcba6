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

    private data class Case(val name: String, val frame: StreamFrame, val expected: FrameDecision)

    private val afterTwo = StreamAssembler("r", nextOffset = 2)
    private val cases = listOf(
        Case(
            "the next frame is delivered",
            frame(2),
            FrameDecision.Deliver(afterTwo.copy(nextOffset = 3))
        ),
        Case("a repeated frame is dropped", frame(1), FrameDecision.Drop),
        Case("a frame of another request is dropped", frame(2, "other"), FrameDecision.Drop),
        Case("a gap names the first missing token", frame(4), FrameDecision.Gap(2)),
        Case(
            "the last frame completes the response",
            frame(2, isLast = true, tokens = 0),
            FrameDecision.Deliver(afterTwo.copy(isComplete = true))
        ),
        Case(
            "a last frame after a missing token is a gap",
            frame(3, isLast = true),
            FrameDecision.Gap(2)
        )
    )

    @TestFactory
    fun `decides on frames by request and offset`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            assertEquals(case.expected, afterTwo.accept(case.frame))
        }
    }

    @Property(
        seed = "20261204",
        tries = 500,
        shrinking = ShrinkingMode.OFF,
        afterFailure = AfterFailureMode.RANDOM_SEED
    )
    fun `stray, repeated and lost frames give the full response in order`(@ForAll seed: Long) {
        val random = Random(seed)
        val length = 1L + random.nextInt(30)
        val queue = ArrayDeque<StreamFrame>()
        var assembler = StreamAssembler("r")
        val delivered = mutableListOf<Long>()
        fun resume(from: Long) {
            queue.clear()
            (from..length).forEach {
                queue.addLast(
                    frame(
                        it,
                        isLast = it == length,
                        tokens = if (it == length) {
                            0
                        } else {
                            1
                        }
                    )
                )
            }
            if (random.nextBoolean()) {
                queue.add(random.nextInt(queue.size + 1), frame(random.nextLong(length)))
            }
            if (random.nextBoolean()) queue.add(random.nextInt(queue.size + 1), frame(0, "other"))
            if (queue.size > 2 && random.nextInt(3) == 0) queue.removeAt(random.nextInt(queue.size))
        }
        resume(0)
        while (!assembler.isComplete) {
            val frame = queue.removeFirstOrNull()
            val decision = frame?.let(assembler::accept) ?: FrameDecision.Gap(assembler.nextOffset)
            when (decision) {
                is FrameDecision.Deliver -> {
                    delivered.add(assembler.nextOffset)
                    assembler = decision.nextAssembler
                }

                is FrameDecision.Gap -> resume(decision.fromOffset)

                is FrameDecision.Drop -> Unit
            }
        }
        assertEquals((0..length).toList(), delivered)
    }
}
