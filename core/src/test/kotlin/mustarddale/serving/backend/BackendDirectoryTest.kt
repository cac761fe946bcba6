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
    fun `which servers are known`() {
        val cases = listOf(
            Case("a removed entry is gone", { it.remove("x", 100) }, setOf("y")),
            Case(
                "an entry that lapsed while the list was away is kept",
                {
                    it.listReturned(100)
                    it.replaceAll(listOf(backend("y")), 100)
                    it.dropLapsed(2_000)
                },
                setOf("x", "y")
            ),
            Case(
                "and dropped if it is not renewed within the grace",
                {
                    it.listReturned(100)
                    it.remove("x", 150)
                    it.dropLapsed(2_300)
                },
                setOf("y")
            ),
            Case(
                "or kept if it is",
                {
                    it.listReturned(100)
                    it.remove("x", 150)
                    it.put(backend("x"))
                    it.dropLapsed(9_000)
                },
                setOf("x", "y")
            ),
            Case(
                "a leaving server has no grace",
                {
                    it.put(backend("x", isDraining = true))
                    it.listReturned(100)
                    it.remove("x", 150)
                },
                setOf("y")
            )
        )
        cases.forEach { case ->
            val directory = BackendDirectory(lapseGraceMillis = 2_200)
            directory.replaceAll(listOf(backend("x"), backend("y")), 0)
            case.steps(directory)
            assertEquals(case.expected, directory.backends.map { it.id }.toSet(), case.name)
        }
    }

    @Test
    fun `a new run under the same id is a new server`() {
        val directory = BackendDirectory()
        directory.put(backend("x", bornMillis = 1))
        val restarted = backend("x", bornMillis = 2)
        assertEquals(BackendChange.Appeared(restarted), directory.put(restarted))
    }
}
