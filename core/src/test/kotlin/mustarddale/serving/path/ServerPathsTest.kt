package mustarddale.serving.path

import kotlin.test.Test
import kotlin.test.assertEquals

/** Tests which outcomes of connections show that an instance has lost its paths to a service. */
class ServerPathsTest {
    private class Case(
        val name: String,
        val isCutOff: Boolean,
        val isOtherCutOff: Boolean = false,
        val events: ServerPaths.() -> Unit
    )

    @Test
    fun `an instance is cut off from a service when several servers are unreached at once`() {
        val cases = listOf(
            Case("no server was tried", isCutOff = false) {},
            Case("one server is unreached, however often", isCutOff = false) {
                repeat(9) { recordUnreached("s1", 10L + it) }
            },
            Case("two are unreached", isCutOff = true, isOtherCutOff = true) {
                recordUnreached("s1", 10)
                recordUnreached("s2", 11)
            },
            Case("two of three, and the third responds since", isCutOff = false, true) {
                recordUnreached("s1", 10)
                recordUnreached("s2", 11)
                recordReached(SERVICE, "s3", 12)
            },
            Case("the third has responded before", isCutOff = true, isOtherCutOff = true) {
                recordReached(SERVICE, "s3", 9)
                recordUnreached("s1", 10)
                recordUnreached("s2", 11)
            },
            Case("between the two, the third responds", isCutOff = false, true) {
                recordUnreached("s1", 10)
                recordReached(SERVICE, "s3", 11)
                recordUnreached("s2", 12)
            },
            Case("the other service responds", isCutOff = true, isOtherCutOff = false) {
                recordUnreached("s1", 10)
                recordUnreached("s2", 11)
                recordReached(OTHER, "o1", 12)
            },
            Case("an unreached server fails again after a response", isCutOff = false, true) {
                recordUnreached("s1", 10)
                recordUnreached("s2", 11)
                recordReached(SERVICE, "s3", 12)
                recordUnreached("s1", 13)
                recordUnreached("s2", 14)
            },
            Case("one of the two has left the list", isCutOff = false) {
                recordUnreached("s1", 10)
                recordUnreached("s2", 11)
                forget("s2")
            },
            Case("both respond again", isCutOff = false) {
                recordUnreached("s1", 10)
                recordUnreached("s2", 11)
                recordReached(SERVICE, "s1", 12)
                recordReached(SERVICE, "s2", 13)
            }
        )
        cases.forEach { case ->
            val paths = ServerPaths().apply(case.events)
            assertEquals(case.isCutOff, paths.isCutOff(SERVICE), case.name)
            assertEquals(case.isOtherCutOff, paths.isCutOff(OTHER), "${case.name}, other service")
            val isSeveral = paths.unreachedServers.size > 1
            assertEquals(isSeveral, paths.hasSeveralUnreached, "${case.name}, several unreached")
        }
    }

    private companion object {
        const val SERVICE = "scribe"
        const val OTHER = "desk"
    }
}
