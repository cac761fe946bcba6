package mustarddale.cli.explain

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class StoryTest {
    private val lines = listOf("north-1.log", "collected.log").flatMap { name ->
        val stream = checkNotNull(javaClass.getResourceAsStream("/explain/$name"))
        stream.bufferedReader().use { LogReader.read(it, name) }
    }

    private data class Case(val name: String, val subject: Subject, val story: String)

    private val cases = listOf(
        Case(
            "a request, with what was known of its server, its model and its instance",
            Subject.OfRequest("r1"),
            """
              10:00:08.900 south-1 engine_contents engine=e9 models={m1=[a1], m22=[]}
              10:00:09.000 north-1 backend_changed backend=e7 draining=true
              10:00:09.900 south-1 order_given engine=e9 kind=LOAD wanted=m1/a2 answer=CONFLICT
            > 10:00:10.000 north-1 sent backend=e7 cost=0.120 wanted=m1/a2 outcome=not run
            > 10:00:11.500 north-1 refused reason=model m1/a2 is absent, not ordered afterMillis=1520
            """
        ),
        Case(
            "an engine",
            Subject.OfEngine("e8"),
            "> 10:00:09.200 north-1 backend_changed backend=e8 draining=true"
        ),
        Case(
            "a model, not another one whose name begins alike",
            Subject.OfModel("m2"),
            "> 10:00:09.950 south-1 order_given engine=e9 kind=LOAD wanted=m2 answer=ACCEPTED"
        ),
        Case("a request that no line is about", Subject.OfRequest("r9"), "")
    )

    @Test
    fun `stories are told in order`() = cases.forEach { case ->
        val expected = case.story.trimIndent().trim('\n')
        assertEquals(expected, StoryText.plain(Story(lines).of(case.subject)), case.name)
    }

    @Test
    fun `a story as JSON`() {
        val story = Story(lines).of(Subject.OfEngine("e8"))
        assertEquals(
            """[{"time":"2026-03-01T10:00:09.200Z","instance":"north-1",""" +
                """"event":"backend_changed","isOwn":true,""" +
                """"fields":{"backend":"e8","draining":"true"}}]""",
            StoryText.json(story)
        )
    }

    @Test
    fun `other lines are no decisions`() {
        listOf(
            "",
            "text",
            "{",
            "{\"time\":\"2026-03-01T10:00:00.000+0000\",\"message\":\"text\"}",
            "{\"time\":\"2026-03-01T10:00:00.000+0000\",\"message\":{\"text\":\"x\"}}",
            "{\"time\":\"then\",\"message\":{\"event\":\"sent\"}}"
        ).forEach { assertNull(LogLine.parse(it, "x"), it) }
    }
}
