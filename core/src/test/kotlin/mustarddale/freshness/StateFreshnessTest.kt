package mustarddale.freshness

import kotlin.test.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class StateFreshnessTest {
    private val now = 100_000L

    private fun sign(name: String, offset: Long, logAge: Long, heardAgo: Long) =
        PeerHeartbeat(name, offset, logAge, now - heardAgo)

    private fun freshness(
        logAge: Long? = null,
        known: Int = 5,
        peers: List<PeerHeartbeat> = emptyList()
    ) = StateFreshness(
        self = "i0",
        nextOffset = 10,
        logReadSentMillis = logAge?.let { now - it } ?: StateFreshness.NEVER,
        peers = peers,
        knownInstances = (0 until known).map { "i$it" }.toSet(),
        nowMillis = now
    )

    private val unknown = StateFreshness.UNKNOWN_AGE
    private val rows = listOf(
        Triple("the log answered just now", freshness(logAge = 200), true),
        Triple("the log is silent and nobody is heard", freshness(logAge = 3_001), false),
        Triple(
            "a fresh peer that is level vouches",
            freshness(peers = listOf(sign("i1", 10, 500, 500))),
            true
        ),
        Triple(
            "a fresh peer that is ahead does not vouch",
            freshness(peers = listOf(sign("i1", 11, 500, 500))),
            false
        ),
        Triple(
            "what a peer knew ages on the way",
            freshness(peers = listOf(sign("i1", 10, 2_000, 1_500))),
            false
        ),
        Triple(
            "log down for all: a majority is heard",
            freshness(peers = listOf(sign("i1", 10, unknown, 100), sign("i2", 10, unknown, 100))),
            true
        ),
        Triple(
            "log down for all: a minority is not enough",
            freshness(peers = listOf(sign("i1", 10, unknown, 100))),
            false
        ),
        Triple(
            "silent peers do not count",
            freshness(peers = listOf(sign("i1", 10, unknown, 4_000), sign("i2", 10, unknown, 9))),
            false
        ),
        Triple(
            "instances that are not listed do not count",
            freshness(peers = listOf(sign("x", 10, unknown, 9), sign("y", 10, unknown, 9))),
            false
        ),
        Triple("a single instance is its own majority", freshness(known = 1), true)
    )

    @TestFactory
    fun `says whether the newest configuration is known`(): List<DynamicTest> =
        rows.map { (name, freshness, expected) ->
            DynamicTest.dynamicTest(name) { assertEquals(expected, freshness.isFresh) }
        }
}
