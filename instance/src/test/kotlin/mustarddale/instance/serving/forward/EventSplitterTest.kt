package mustarddale.instance.serving.forward

import kotlin.test.Test
import kotlin.test.assertEquals

class EventSplitterTest {
    private data class Case(
        val name: String,
        val chunks: List<String>,
        val completeEvents: List<String>,
        val lastEventId: String?,
        val hasPartialEvent: Boolean
    )

    @Test
    fun `only complete events are returned`() {
        listOf(
            Case(
                "one",
                listOf("id: 1\ndata: x\n\n"),
                listOf("id: 1\ndata: x\n\n"),
                "1",
                false
            ),
            Case(
                "chunks that end within events",
                listOf("id: 1\nda", "ta: x\n", "\nid: 2"),
                listOf("", "", "id: 1\ndata: x\n\n"),
                "1",
                true
            ),
            Case(
                "several events in one chunk",
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
            Case("no event id", listOf("data: x\n\n"), listOf("data: x\n\n"), "start", false),
            Case("nothing", emptyList(), emptyList(), "start", false)
        ).forEach { case ->
            val splitter = EventSplitter("start")
            val completeEvents = case.chunks.map { String(splitter.append(it.toByteArray())) }
            assertEquals(case.completeEvents, completeEvents, case.name)
            assertEquals(case.lastEventId, splitter.lastEventId, case.name)
            assertEquals(case.hasPartialEvent, splitter.hasPartialEvent, case.name)
        }
    }
}
