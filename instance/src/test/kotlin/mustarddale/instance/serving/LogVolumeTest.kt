package mustarddale.instance.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LogVolumeTest {
    private val requests = List(1_000) { "request-$it" }

    private fun LogVolume.written(second: Long, count: Int, isGood: Boolean): Set<String> =
        requests.take(count).filter { isWritten(it, isGood, second * 1_000) }.toSet()

    @Test
    fun `successes are thinned out from the second after, others are cut at a rate`() {
        data class Case(val count: Int, val isGood: Boolean, val first: Int, val laterAtMost: Int)
        listOf(
            Case(count = 80, isGood = true, first = 80, laterAtMost = 80),
            Case(count = 400, isGood = true, first = 400, laterAtMost = 130),
            Case(count = 1_000, isGood = true, first = 1_000, laterAtMost = 130),
            Case(count = 80, isGood = false, first = 80, laterAtMost = 80),
            Case(count = 1_000, isGood = false, first = 150, laterAtMost = 150)
        ).forEach { case ->
            val volume = LogVolume()
            assertEquals(case.first, volume.written(1, case.count, case.isGood).size, "$case")
            val later = volume.written(2, case.count, case.isGood).size
            assertTrue(later in 1..case.laterAtMost, "$case: $later")
        }
    }

    @Test
    fun `all instances keep the same requests, and fewer of them under more load`() {
        val some = LogVolume().also { it.written(1, 400, isGood = true) }
        val other = LogVolume().also { it.written(1, 400, isGood = true) }
        val loaded = LogVolume().also { it.written(1, 1_000, isGood = true) }
        val kept = some.written(2, 400, isGood = true)
        assertEquals(kept, other.written(2, 400, isGood = true))
        assertTrue(loaded.written(2, 400, isGood = true).all { it in kept })
    }

    @Test
    fun `what was left out is told once in the next second`() {
        val volume = LogVolume()
        volume.written(1, 200, isGood = false)
        assertEquals(50, volume.takeLeftOut(1_000))
        volume.written(1, 10, isGood = false)
        assertEquals(0, volume.takeLeftOut(1_500))
        volume.isWritten("x", isGood = false, nowMillis = 2_100)
        assertEquals(10, volume.takeLeftOut(2_100))
        assertEquals(0, volume.takeLeftOut(2_100))
    }
}
