package mustarddale.instance.serving.forward

import kotlin.test.Test
import kotlin.test.assertEquals

class EventTrackerTest {
    private data class Case(
        val name: String,
        val parts: List<String>,
        val passedOn: List<String>,
        val lastEventId: String?,
        val hasPart: Boolean
    )

    @Test
    fun `only whole events are passed on`() {
        listOf(
            Case("one", listOf("id: 1\ndata: x\n\n"), listOf("id: 1\ndata: x\n\n"), "1", false),
            Case(
                "cut anywhere",
                listOf("id: 1\nda", "ta: x\n", "\nid: 2"),
                listOf("", "", "id: 1\ndata: x\n\n"),
                "1",
                true
            ),
            Case(
                "several at once",
                listOf("id: 1\n\nid: 2\n\nid: 3\n"),
                listOf("id: 1\n\nid: 2\n\n"),
                "2",
                true
            ),
            Case(
                "lines end with CR LF",
                listOf("id: 7\r\n\r\n"),
                listOf("id: 7\r\n\r\n"),
                "7",
                false
            ),
            Case("no id", listOf("data: x\n\n"), listOf("data: x\n\n"), "start", false),
            Case("nothing", emptyList(), emptyList(), "start", false)
        ).forEach { case ->
            val tracker = EventTracker("start")
            val passedOn = case.parts.map { String(tracker.take(it.toByteArray())) }
            assertEquals(case.passedOn, passedOn, case.name)
            assertEquals(case.lastEventId, tracker.lastEventId, case.name)
            assertEquals(case.hasPart, tracker.hasPart, case.name)
        }
    }
}
