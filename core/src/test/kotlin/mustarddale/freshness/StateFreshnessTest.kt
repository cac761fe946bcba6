package mustarddale.freshness

import kotlin.test.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class StateFreshnessTest {
    private val nowMillis = 100_000L

    private fun heartbeat(name: String, offset: Long, logAgeMillis: Long, ageMillis: Long) =
        PeerHeartbeat(name, offset, logAgeMillis, nowMillis - ageMillis)

    private fun freshness(
        logAgeMillis: Long? = null,
        knownCount: Int = 5,
        peers: List<PeerHeartbeat> = emptyList()
    ) = StateFreshness(
        self = "i0",
        nextOffset = 10,
        logReadSentMillis = logAgeMillis?.let { nowMillis - it } ?: StateFreshness.NEVER,
        peers = peers,
        knownInstances = (0 until knownCount).map { "i$it" }.toSet(),
        nowMillis = nowMillis
    )

    private val unknown = StateFreshness.UNKNOWN_AGE
    private val cases = listOf(
        Triple("the log was read recently", freshness(logAgeMillis = 200), true),
        Triple("an outdated log read and no heartbeats", freshness(logAgeMillis = 3_001), false),
        Triple(
            "a fresh peer at the same offset counts",
            freshness(peers = listOf(heartbeat("i1", 10, 500, 500))),
            true
        ),
        Triple(
            "a fresh peer that is ahead does not count",
            freshness(peers = listOf(heartbeat("i1", 11, 500, 500))),
            false
        ),
        Triple(
            "the age of a heartbeat adds to the age that it reports",
            freshness(peers = listOf(heartbeat("i1", 10, 2_000, 1_500))),
            false
        ),
        Triple(
            "log outage: heartbeats from a majority suffice",
            freshness(
                peers = listOf(
                    heartbeat("i1", 10, unknown, 100),
                    heartbeat("i2", 10, unknown, 100)
                )
            ),
            true
        ),
        Triple(
            "log outage: heartbeats from a minority do not suffice",
            freshness(peers = listOf(heartbeat("i1", 10, unknown, 100))),
            false
        ),
        Triple(
            "outdated heartbeats do not count towards a majority",
            freshness(
                peers = listOf(
                    heartbeat("i1", 10, unknown, 4_000),
                    heartbeat("i2", 10, unknown, 9)
                )
            ),
            false
        ),
        Triple(
            "heartbeats from instances that are not listed do not count",
            freshness(
                peers = listOf(
                    heartbeat("x", 10, unknown, 9),
                    heartbeat("y", 10, unknown, 9)
                )
            ),
            false
        ),
        Triple("a single known instance is a majority", freshness(knownCount = 1), true)
    )

    @TestFactory
    fun `tells whether the configuration is fresh`(): List<DynamicTest> =
        cases.map { (name, freshness, expected) ->
            DynamicTest.dynamicTest(name) { assertEquals(expected, freshness.isFresh) }
        }
}
