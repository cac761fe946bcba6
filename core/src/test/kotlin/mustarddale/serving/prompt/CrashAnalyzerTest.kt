package mustarddale.serving.prompt

import kotlin.test.Test
import kotlin.test.assertEquals

class CrashAnalyzerTest {
    private data class Case(
        val name: String,
        val blocked: List<Set<String>>,
        val events: CrashAnalyzer.() -> Unit
    )

    @Test
    fun `only parts that are never answered and in several crashes are blocked`() {
        listOf(
            Case("one crash", emptyList()) { crash("e1", "bad") },
            Case("two crashes, many answers between them", listOf(setOf("bad"))) {
                crash("e1", "a", "bad")
                recordAnswers(200, setOf("a"))
                crash("e2", "a", "bad")
                recordAnswers(200, setOf("a"))
            },
            Case("two crashes, no answers", emptyList()) {
                crash("e1", "bad")
                crash("e2", "bad")
            },
            Case("answered between the crashes", emptyList()) {
                crash("e1", "a")
                recordAnswers(200, setOf("a"))
                crash("e2", "a")
                recordAnswers(200, emptySet())
            },
            Case("one server lost twice", emptyList()) {
                crash("e1", "bad")
                recordAnswers(200, emptySet())
                recordSuspect(CrashSuspect("e1", "again", listOf("bad")), 0)
                recordAnswers(200, emptySet())
            },
            Case("one request at two servers", emptyList()) {
                recordSuspect(CrashSuspect("e1", "r", listOf("a")), 0)
                recordAnswers(200, emptySet())
                recordSuspect(CrashSuspect("e2", "r", listOf("a")), 0)
                recordAnswers(200, emptySet())
            },
            Case("all servers lost at once", emptyList()) {
                (1..9).forEach { crash("e$it", "a") }
            }
        ).forEach(::check)
    }

    @Test
    fun `parts that were in the same requests are blocked together`() {
        listOf(
            Case("two parts in the same requests", listOf(setOf("bad", "b"))) {
                crash("e1", "b", "bad")
                recordAnswers(200, emptySet())
                crash("e2", "b", "bad")
                recordAnswers(200, emptySet())
            },
            Case("one of two parts alone in a later crash", listOf(setOf("bad"))) {
                adopt(PromptBlock(setOf("bad", "b"), 1_000, 1_000), 0)
                crash("e1", "b", "bad")
                recordAnswers(200, emptySet())
                crash("e2", "bad")
                recordAnswers(200, emptySet())
            },
            Case("crashes that a block explains", emptyList()) {
                adopt(PromptBlock(setOf("bad"), 1_000, 1_000), 0)
                crash("e1", "b", "bad")
                recordAnswers(200, emptySet())
                crash("e2", "b", "bad")
                recordAnswers(200, emptySet())
            }
        ).forEach(::check)
    }

    private fun check(case: Case) {
        val newBlocks = CrashAnalyzer().apply(case.events).blockSuspects(SETTLED_MILLIS)
        assertEquals(case.blocked, newBlocks.map { it.parts }, case.name)
    }

    @Test
    fun `one request at a time probes a blocked part until one is answered`() {
        val analyzer = CrashAnalyzer()
        val parts = setOf("a", "bad")
        analyzer.adopt(
            PromptBlock(setOf("bad"), probeInMillis = 100, probeIntervalMillis = 1_000),
            0
        )
        val waits = listOf(0L, 100L, 100L, 1_100L, 1_101L).map { analyzer.requestProbe(parts, it) }
        assertEquals(listOf(100L, 0L, 1_000L, 0L, 1_999L), waits)
        analyzer.recordAnswers(1, parts)
        assertEquals(emptyList(), analyzer.blocks(1_200))
        assertEquals(0, analyzer.requestProbe(parts, 1_200))
    }

    @Test
    fun `an answer takes the parts of its prompt out of a block`() {
        val analyzer = CrashAnalyzer()
        analyzer.adopt(PromptBlock(setOf("bad", "b"), 1_000, 1_000), 0)
        assertEquals(0, analyzer.requestProbe(listOf("b"), 0))
        assertEquals(false, analyzer.recordAnswers(1, setOf("b")))
        assertEquals(listOf(setOf("bad")), analyzer.blocks(0).map { it.parts })
        assertEquals(true, analyzer.recordAnswers(1, setOf("bad")))
    }

    private fun CrashAnalyzer.crash(server: String, vararg parts: String) =
        recordSuspect(CrashSuspect(server, "request at $server", parts.toList()), 0)

    private companion object {
        const val SETTLED_MILLIS = 1_000L
    }
}
