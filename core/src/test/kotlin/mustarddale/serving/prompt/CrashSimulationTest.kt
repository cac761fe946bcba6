package mustarddale.serving.prompt

import java.util.Random
import kotlin.math.pow
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Simulates engines that a part of a prompt crashes, and others that crash by themselves. Requests
 * have a part that many share and one that few share; engines answer them after a random time.
 */
class CrashSimulationTest {
    private class Request(val id: Int, val parts: List<String>, val answerAtMillis: Long)

    private class Fleet(private val random: Random) {
        private val engineCount = 4 + random.nextInt(40)
        private val requestsPerSecond = 20 * engineCount
        private val deadlyFraction = 0.005 + 0.1 * random.nextDouble()
        private val commonParts = 1 + random.nextInt(20)
        private val rareParts = 50 + random.nextInt(400)
        private val meanAnswerMillis = 20 + random.nextInt(200)
        private val otherCrashIntervalMillis = 500 + random.nextInt(20_000)
        private val analyzer = CrashAnalyzer()
        private val requestsByEngine = List(engineCount) { ArrayList<Request>() }
        private val returnAtMillis = LongArray(engineCount)
        private val runs = IntArray(engineCount)
        private var requestCount = 0
        private val deadlyCrashMillis = ArrayList<Long>()

        /** Blocks of requests without the deadly part. */
        val wrongBlocks = ArrayList<NewBlock>()

        /** Requests with the deadly part that were sent later than allowed. */
        var lateRequests = 0
            private set

        fun play() {
            for (nowMillis in 0 until DURATION_MILLIS) {
                if (random.nextInt(MILLIS_PER_SECOND) < requestsPerSecond) arrive(nowMillis)
                requestsByEngine.indices.forEach { answer(it, nowMillis) }
                if (random.nextInt(otherCrashIntervalMillis) == 0) {
                    crash(random.nextInt(engineCount), nowMillis)
                }
                if (nowMillis % TICK_MILLIS == 0L) block(nowMillis)
            }
        }

        private fun block(nowMillis: Long) {
            analyzer.blockSuspects(nowMillis).filterTo(wrongBlocks) { DEADLY !in it.parts }
        }

        private fun arrive(nowMillis: Long) {
            val isDeadly = random.nextDouble() < deadlyFraction
            val common = "c" + (random.nextDouble().pow(2) * commonParts).toInt()
            val rare = "r" + (random.nextDouble().pow(2) * rareParts).toInt()
            val parts = if (isDeadly) listOf(common, DEADLY, rare) else listOf(common, rare)
            if (analyzer.blocks(nowMillis).any { it.matches(parts) }) return
            val fifthCrashMillis = deadlyCrashMillis.getOrNull(FREE_CRASHES - 1) ?: Long.MAX_VALUE
            if (isDeadly && nowMillis - fifthCrashMillis > STABLE_WINDOW_MILLIS) lateRequests++
            val up = requestsByEngine.indices.filter { returnAtMillis[it] <= nowMillis }
            if (up.isEmpty()) return
            val answerMillis = 1 + random.nextInt(2 * meanAnswerMillis)
            val request = Request(requestCount++, parts, nowMillis + answerMillis)
            requestsByEngine[up[random.nextInt(up.size)]].add(request)
        }

        private fun answer(engine: Int, nowMillis: Long) {
            val due = requestsByEngine[engine].filter { it.answerAtMillis <= nowMillis }
            if (due.any { DEADLY in it.parts }) {
                deadlyCrashMillis += nowMillis
                crash(engine, nowMillis)
                return
            }
            requestsByEngine[engine].removeAll(due.toSet())
            due.forEach { analyzer.recordAnswers(1, it.parts.toSet()) }
        }

        private fun crash(engine: Int, nowMillis: Long) {
            val server = "$engine-${runs[engine]++}"
            requestsByEngine[engine].forEach {
                analyzer.recordSuspect(CrashSuspect(server, "${it.id}", it.parts), nowMillis)
            }
            requestsByEngine[engine].clear()
            returnAtMillis[engine] = nowMillis + RETURN_MILLIS
        }
    }

    @Test
    fun `requests that crash engines are blocked in time, and hardly any other`() {
        val fleets = (1..FLEETS).map { Fleet(Random(it.toLong())).apply { play() } }
        assertEquals(emptyList(), fleets.map { it.lateRequests }.filter { it > MAX_LATE_REQUESTS })
        val wrongBlocks = fleets.flatMap { it.wrongBlocks }
        assertTrue(wrongBlocks.size <= FLEETS * MAX_WRONG_FRACTION, "$wrongBlocks")
    }

    private companion object {
        const val DEADLY = "deadly"
        const val FLEETS = 300
        const val MAX_LATE_REQUESTS = 3
        const val MAX_WRONG_FRACTION = 0.01
        const val FREE_CRASHES = 5
        const val STABLE_WINDOW_MILLIS = 3_000L
        const val DURATION_MILLIS = 12_000L
        const val MILLIS_PER_SECOND = 1_000
        const val TICK_MILLIS = 50L
        const val RETURN_MILLIS = 3_000L
    }
}
