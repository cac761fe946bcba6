package mustarddale.serving.version

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class StreamRecordsTest {
    @Test
    fun `a stream keeps the version that began it`() {
        val records = StreamRecords(maxRecords = 10)
        records.put("r1", "v1", 0)
        records.put("r1", "v2", 1)
        assertEquals("v1", records.versionOf("r1"))
        assertNull(records.versionOf("r2"))
    }

    @Test
    fun `a reader gets the records that it has not read`() {
        val records = StreamRecords(maxRecords = 3)
        (1..5).forEach { records.put("r$it", "v$it", it.toLong()) }
        val unreadByNumber = listOf(0L, 3L, 4L, 5L, 9L).map { records.since(it).keys.toList() }
        val expected =
            listOf(listOf("r3", "r4", "r5"), listOf("r4", "r5"), listOf("r5"), listOf(), listOf())
        assertEquals(expected, unreadByNumber)
    }

    @Test
    fun `records end when their streams cannot go on any more`() {
        val records = StreamRecords(maxRecords = 10)
        records.put("r1", "v1", 0)
        records.put("r2", "v1", StreamRecords.TTL_MILLIS)
        assertNull(records.versionOf("r1"))
        assertEquals(1, records.size)
    }
}
