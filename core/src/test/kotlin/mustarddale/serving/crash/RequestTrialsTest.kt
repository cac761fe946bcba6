package mustarddale.serving.crash

import kotlin.test.Test
import kotlin.test.assertEquals

class RequestTrialsTest {
    private val trials = RequestTrials(startMillis = 0)

    private fun tryAt(nowMillis: Long, digest: String, server: String) =
        trials.requestTrial(digest, SERVICE, server, nowMillis)

    private fun loseAt(nowMillis: Long, digest: String, server: String) =
        trials.recordLost(digest, SERVICE, server, nowMillis)

    private data class Case(
        val name: String,
        val events: RequestTrialsTest.() -> Unit,
        val blocked: List<String>
    )

    private val loseTrialOfA: RequestTrialsTest.() -> Unit = {
        loseAt(1_000, "a", "s1")
        tryAt(1_010, "a", "s2")
        loseAt(1_050, "a", "s2")
    }

    private val cases = listOf(
        Case("the only request at both losses", loseTrialOfA, listOf("a")),
        Case(
            "another request at both losses",
            {
                loseTrialOfA()
                loseAt(1_001, "b", "s1")
                loseAt(1_051, "b", "s2")
            },
            emptyList()
        ),
        Case(
            "a third server lost at the same time",
            {
                loseTrialOfA()
                loseAt(1_060, "b", "s3")
            },
            emptyList()
        ),
        Case(
            "a third loss, in a trial",
            {
                loseTrialOfA()
                loseAt(1_060, "b", "s3")
                tryAt(2_000, "a", "s4")
                loseAt(2_050, "a", "s4")
            },
            listOf("a")
        ),
        Case(
            "a third loss, in a trial that ended others too",
            {
                loseTrialOfA()
                loseAt(1_060, "b", "s3")
                tryAt(2_000, "a", "s4")
                loseAt(2_049, "c", "s4")
                loseAt(2_050, "a", "s4")
            },
            listOf("a")
        ),
        Case(
            "three losses without a trial",
            { listOf("s1", "s2", "s3").forEach { loseAt(1_000, "a", it) } },
            emptyList()
        ),
        Case(
            "an answer after the losses",
            {
                loseTrialOfA()
                trials.recordAnswers(setOf("a"))
            },
            emptyList()
        ),
        Case(
            "a server that serves after its loss",
            {
                loseTrialOfA()
                trials.recordServing(setOf("s1"))
            },
            emptyList()
        )
    )

    @Test
    fun `a request is blocked when no other cause explains the losses`() = cases.forEach { case ->
        RequestTrialsTest().apply {
            case.events(this)
            assertEquals(case.blocked, trials.blockSuspects(5_000), case.name)
        }
    }

    @Test
    fun `a server has one trial at a time, and a request one server`() {
        loseAt(1_000, "a", "s1")
        loseAt(1_000, "b", "s1")
        assertEquals(0, tryAt(1_010, "a", "s2"))
        assertEquals(
            listOf(true, true),
            listOf("a" to "s3", "b" to "s2").map { (digest, server) ->
                tryAt(1_020, digest, server) > 0
            }
        )
        assertEquals(0, tryAt(1_020, "b", "s3"))
    }

    @Test
    fun `a blocked request is sent twice more at most, also by later leaders`() {
        loseTrialOfA()
        trials.blockSuspects(2_000)
        assertEquals(5_000, tryAt(2_000, "a", "s3"))
        assertEquals(0, tryAt(7_000, "a", "s3"))
        val next = RequestTrials(startMillis = 8_000)
        trials.lastingVerdicts(8_000).forEach { next.adopt(it, 8_000) }
        next.adopt(RequestVerdict("a", isBlocked = false, probesLeft = 2, probeInMillis = 0), 8_000)
        val waits = listOf(8_000L, 9_000L, 607_000L, 608_000L, 9_999_000L).map {
            next.requestTrial("a", SERVICE, "s4", it)
        }
        val expected = listOf(500, 598_000, 0, RequestTrials.FORGET_MILLIS)
        assertEquals(expected + RequestTrials.FORGET_MILLIS, waits)
    }

    @Test
    fun `blocks stay when there are more suspects than can be known`() {
        loseTrialOfA()
        assertEquals(listOf("a"), trials.blockSuspects(2_000))
        repeat(600) { loseAt(3_000L + it, "b$it", "s3") }
        loseAt(4_000, "c", "s4")
        val known = trials.verdicts(4_000).map { it.digest }
        assertEquals(listOf(true, false, true), listOf("a", "b0", "c").map { it in known })
    }

    private companion object {
        const val SERVICE = "orders"
    }
}
