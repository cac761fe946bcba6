package mustarddale.instance.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.runBlocking

class RepeatRoundsTest {
    /** Guards against work that ends for good with the first exception. */
    @Test
    fun `failed rounds are counted in a row and followed by the next one`() {
        val fails = listOf(false, true, true, false, true, true, true, false)
        val counts = ArrayList<Int>()
        var round = 0
        runBlocking {
            assertFailsWith<CancellationException> {
                repeatRounds("test", intervalMillis = 1, onFailedRounds = { counts += it }) {
                    if (round == fails.size) throw CancellationException("the end")
                    if (fails[round++]) throw NoSuchElementException("round $round")
                }
            }
        }
        assertEquals(fails.size, round)
        assertEquals(listOf(1, 2, 1, 2, 3), counts)
    }
}
