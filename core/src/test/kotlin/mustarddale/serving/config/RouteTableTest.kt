package mustarddale.serving.config

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.collections.immutable.toImmutableList

class RouteTableTest {
    private fun route(name: String, prefix: String, vararg services: WeightedService) = RouteConfig(
        name, "h.example", prefix, services.toList().toImmutableList(), Repeatability.ONCE,
        isStream = false, timeoutMillis = 1, latencyTargetMillis = 1, maxEventGapMillis = null,
        callerTimeoutMillis = null, priority = 0,
        maxAttempts = 1, allowsAnonymous = false
    )

    private val table = RouteTable(
        listOf(route("root", "/"), route("short", "/a/"), route("long", "/a/b/"))
    )

    private data class Case(val host: String, val path: String, val expected: String?)

    @Test
    fun `a request takes the route with the longest matching prefix of its host`() {
        listOf(
            Case("h.example", "/a/b/c", "long"),
            Case("h.example", "/a/b", "short"),
            Case("h.example", "/a/bc/", "short"),
            Case("H.Example", "/a/", "short"),
            Case("h.example", "/other", "root"),
            Case("other.example", "/a/", null)
        ).forEach { case ->
            assertEquals(case.expected, table.find(case.host, case.path)?.name, case.toString())
        }
    }

    @Test
    fun `services of a route receive requests in proportion to their weights`() {
        val split = route("s", "/", WeightedService("x", 90), WeightedService("y", 10))
        val fraction =
            (0 until 2_000).count { table.serviceFor(split, "request-$it") == "y" } / 2_000.0
        assertTrue(fraction in 0.07..0.13, "$fraction")
    }
}
