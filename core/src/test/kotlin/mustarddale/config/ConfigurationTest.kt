package mustarddale.config

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import mustarddale.control.Fixtures
import mustarddale.error.Outcome
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class ConfigurationTest {
    private val valid = Fixtures.configuration
    private val account = valid.clientAccounts.single()
    private val engine = valid.backendServers.first()
    private val writer = valid.services.first()
    private val bookings = Route("/bookings")

    private fun withRoute(route: Route): Configuration =
        valid.copy(services = listOf(writer, Service("office", routes = listOf(route))))

    private fun withModel(model: Model): Configuration =
        valid.copy(services = listOf(Service("writer", models = listOf(model)), valid.services[1]))

    private val cases = listOf(
        "clientAccounts[0].tokensPerSecond" to
            valid.copy(clientAccounts = listOf(account.copy(tokensPerSecond = 0))),
        "clientAccounts[0].burstTokens" to
            valid.copy(clientAccounts = listOf(account.copy(burstTokens = 1))),
        "clientAccounts[0].keys[0].sha256" to
            valid.copy(clientAccounts = listOf(account.copy(keys = listOf(ApiKey("k", "abc"))))),
        "clientAccounts[1].name" to valid.copy(clientAccounts = listOf(account, account)),
        "backendServers[0].service" to
            valid.copy(backendServers = valid.backendServers.map { it.copy(service = "none") }),
        "backendServers[0].failureDomain" to valid.copy(failureDomains = emptyList()),
        "backendServers[0].url" to
            valid.copy(backendServers = listOf(engine.copy(url = "e1")) + valid.backendServers[2]),
        "services[1]" to valid.copy(backendServers = valid.backendServers.take(2)),
        "services[0].models[0].memoryBytes" to withModel(Model("m1", Fixtures.ENGINE_BYTES + 1)),
        "services[0].models[0].maxTokensPerByte" to
            withModel(Model("m1", 1, maxTokensPerByte = 1.5)),
        "services[1].routes[0].prefix" to withRoute(bookings.copy(prefix = "/v1/x")),
        "services[1].routes[0].access" to withRoute(bookings.copy(access = Access.OPEN)),
        "limits.rateSlots" to valid.copy(limits = Limits(rateSlots = 0))
    )

    @TestFactory
    fun `names the invalid field`(): List<DynamicTest> = cases.map { (field, configuration) ->
        DynamicTest.dynamicTest(field) {
            assertContains(ConfigurationValidator.validate(configuration).map { it.field }, field)
        }
    }

    @Test
    fun `a valid configuration has no faults and survives a round trip through JSON`() {
        assertEquals(emptyList(), ConfigurationValidator.validate(valid))
        val read = ConfigurationFormat.read(ConfigurationFormat.write(valid))
        assertEquals(valid, assertIs<Outcome.Success<Configuration>>(read).value)
    }

    @Test
    fun `the error for an unknown field names it`() {
        val read = ConfigurationFormat.read("{\"clientAcounts\":[]}")
        assertContains(assertIs<Outcome.Failure>(read).refusal.message, "clientAcounts")
    }

    @Test
    fun `lists added, changed and removed items`() {
        val after = valid.copy(
            clientAccounts = listOf(account.copy(burstTokens = 9_000), account.copy(name = "new")),
            backendServers = valid.backendServers.drop(1)
        )
        assertEquals(
            listOf(
                "add client account new",
                "change client account yard",
                "remove backend server e1"
            ),
            ConfigurationDiff.describe(valid, after)
        )
    }
}
