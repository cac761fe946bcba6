package mustarddale.serving.backend

import kotlin.test.Test
import kotlin.test.assertEquals
import mustarddale.serving.backend.BackendFixtures.backend

class BackendDirectoryTest {
    private data class Case(
        val name: String,
        val steps: (BackendDirectory) -> Unit,
        val expected: Set<String>
    )

    @Test
    fun `servers that are known after changes of the list`() {
        val cases = listOf(
            Case("a removed entry is unknown", { it.remove("x", 100) }, setOf("y")),
            Case(
                "an entry that expired during an outage of the list is kept",
                {
                    it.onListRestored(100)
                    it.replaceAll(listOf(backend("y")), 100)
                    it.removeExpired(2_000)
                },
                setOf("x", "y")
            ),
            Case(
                "an expired entry is removed if it is not renewed within the grace period",
                {
                    it.onListRestored(100)
                    it.remove("x", 150)
                    it.removeExpired(2_300)
                },
                setOf("y")
            ),
            Case(
                "an expired entry is kept if it is renewed",
                {
                    it.onListRestored(100)
                    it.remove("x", 150)
                    it.put(backend("x"))
                    it.removeExpired(9_000)
                },
                setOf("x", "y")
            ),
            Case(
                "a draining server has no grace period",
                {
                    it.put(backend("x", isDraining = true))
                    it.onListRestored(100)
                    it.remove("x", 150)
                },
                setOf("y")
            )
        )
        cases.forEach { case ->
            val directory = BackendDirectory(expiryGraceMillis = 2_200)
            directory.replaceAll(listOf(backend("x"), backend("y")), 0)
            case.steps(directory)
            assertEquals(case.expected, directory.backends.map { it.id }.toSet(), case.name)
        }
    }

    @Test
    fun `servers that get no new requests because they have said that they leave`() {
        val run = backend("x").run
        val cases = listOf(
            Case("a listed server that leaves", { it.markLeaving(run) }, setOf("x")),
            Case("a server that is listed later", { it.markLeaving(backend("z").run) }, setOf()),
            Case(
                "its entry is written again",
                {
                    it.markLeaving(run)
                    it.put(backend("x", models = mapOf("m" to emptySet())))
                },
                setOf("x")
            ),
            Case(
                "its entry was gone for a time",
                {
                    it.markLeaving(run)
                    it.remove("x", 100)
                    it.put(backend("x"))
                },
                setOf("x")
            ),
            Case(
                "the server was restarted",
                {
                    it.markLeaving(run)
                    it.put(backend("x", startUnixMillis = 2))
                },
                setOf()
            )
        )
        cases.forEach { case ->
            val directory = BackendDirectory()
            directory.replaceAll(listOf(backend("x"), backend("y")), 0)
            case.steps(directory)
            val draining = directory.backends.filter { it.isDraining }.map { it.id }.toSet()
            assertEquals(case.expected, draining, case.name)
        }
    }

    @Test
    fun `a restarted server with the same id is reported as added`() {
        val directory = BackendDirectory()
        directory.put(backend("x", startUnixMillis = 1))
        val restarted = backend("x", startUnixMillis = 2)
        assertEquals(BackendChange.Added(restarted), directory.put(restarted))
    }
}
