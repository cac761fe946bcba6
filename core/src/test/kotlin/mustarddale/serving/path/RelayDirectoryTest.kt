package mustarddale.serving.path

import java.util.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests which instances the leader names to one that can't reach servers. */
class RelayDirectoryTest {
    private class Member(
        val name: String,
        val domain: String = "a",
        val cutOff: Set<String> = emptySet(),
        val reportedAtMillis: Long = NOW_MILLIS
    )

    private class Case(val name: String, val others: List<Member>, val expected: Set<String>)

    @Test
    fun `an instance gets others that reach what it does not`() {
        val cases = listOf(
            Case("none reports", emptyList(), emptySet()),
            Case(
                "those that are cut off from the same service are left out",
                listOf(Member("b", cutOff = setOf("s")), Member("c", cutOff = setOf("t"))),
                setOf("c")
            ),
            Case(
                "one that has fallen silent is left out",
                listOf(Member("b", reportedAtMillis = NOW_MILLIS - 1_001), Member("c")),
                setOf("c")
            ),
            Case(
                "the whole domain is cut off",
                listOf(Member("b", cutOff = setOf("s")), Member("c", "b"), Member("d", "c")),
                setOf("c", "d")
            )
        )
        cases.forEach { case ->
            val directory = directoryOf(case.others + Member("a", cutOff = setOf("s")))
            val peers = directory.peersFor("a", NOW_MILLIS).mapTo(HashSet()) { it.instance }
            assertEquals(case.expected, peers, case.name)
        }
    }

    @Test
    fun `a few are named, of the own domain first, and none to an instance that needs none`() {
        val others = List(150) { Member("b$it", if (it % 3 == 0) "a" else "b") }
        val directory = directoryOf(others + Member("a", cutOff = setOf("s")))
        val peers = directory.peersFor("a", NOW_MILLIS)
        assertEquals(List(3) { "a" } + List(3) { "b" }, peers.map { it.failureDomain })
        assertTrue(peers.distinct().size == peers.size)
        assertEquals(emptyList(), directory.peersFor("b1", NOW_MILLIS))
        assertEquals(emptyList(), directory.peersFor("unknown", NOW_MILLIS))
    }

    @Test
    fun `an instance that has told its address once need not repeat it`() {
        val directory = directoryOf(listOf(Member("b")))
        directory.report("a", peer("a", "a"), emptySet(), needsRelay = false, NOW_MILLIS - 100)
        directory.report("a", null, setOf("s"), needsRelay = true, NOW_MILLIS)
        directory.report("c", null, emptySet(), needsRelay = false, NOW_MILLIS)
        assertEquals(listOf("b"), directory.peersFor("a", NOW_MILLIS).map { it.instance })
        assertTrue(directory.hasConnectedMember(NOW_MILLIS))
        assertEquals(false, directory.hasConnectedMember(NOW_MILLIS + 1_001))
    }

    private fun directoryOf(members: List<Member>) = RelayDirectory(Random(1)).apply {
        members.forEach {
            val needsRelay = it.cutOff.isNotEmpty()
            report(it.name, peer(it.name, it.domain), it.cutOff, needsRelay, it.reportedAtMillis)
        }
    }

    private fun peer(name: String, domain: String) =
        RelayPeer(name, "$name-1", "10.0.0.1", 7_615, domain)

    private companion object {
        const val NOW_MILLIS = 5_000L
    }
}
