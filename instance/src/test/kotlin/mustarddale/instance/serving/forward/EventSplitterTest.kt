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
            Case(
                "lines end with CR, one of them followed by the LF of the next chunk",
                listOf("id: 1\r\r", "\nid: 2\r", "\r"),
                listOf("id: 1\r\r", "\n", "id: 2\r\r"),
                "2",
                false
            ),
            Case(
                "CR LF in two chunks within an event",
                listOf("id: 3\r", "\n", "\r\n"),
                listOf("", "", "id: 3\r\n\r\n"),
                "3",
                false
            ),
            Case("no event id", listOf("data: x\n\n"), listOf("data: x\n\n"), "start", false),
            Case("nothing", emptyList(), emptyList(), "start", false)
        ).forEach { case ->
            val scanner = EventScanner()
            val splitter = EventSplitter("start")
            val completeEvents = case.chunks.map {
                val bytes = it.toByteArray()
                String(splitter.append(bytes, scanner.scan(bytes)))
            }
            assertEquals(case.completeEvents, completeEvents, case.name)
            assertEquals(case.lastEventId, splitter.lastEventId, case.name)
            assertEquals(case.hasPartialEvent, scanner.partialEventBytes > 0, case.name)
        }
    }
}
