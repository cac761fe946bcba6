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
    private val good = Fixtures.configuration
    private val account = good.clientAccounts.single()
    private val engine = good.backendServers.first()
    private val writer = good.services.first()
    private val bookings = Route("/bookings")

    private fun office(route: Route): Configuration =
        good.copy(services = listOf(writer, Service("office", routes = listOf(route))))

    private fun model(model: Model): Configuration =
        good.copy(services = listOf(Service("writer", models = listOf(model)), good.services[1]))

    private val rows = listOf(
        "clientAccounts[0].tokensPerSecond" to
            good.copy(clientAccounts = listOf(account.copy(tokensPerSecond = 0))),
        "clientAccounts[0].burstTokens" to
            good.copy(clientAccounts = listOf(account.copy(burstTokens = 1))),
        "clientAccounts[0].keys[0].sha256" to
            good.copy(clientAccounts = listOf(account.copy(keys = listOf(ApiKey("k", "abc"))))),
        "clientAccounts[1].name" to good.copy(clientAccounts = listOf(account, account)),
        "backendServers[0].service" to
            good.copy(backendServers = good.backendServers.map { it.copy(service = "none") }),
        "backendServers[0].failureDomain" to good.copy(failureDomains = emptyList()),
        "backendServers[0].url" to
            good.copy(backendServers = listOf(engine.copy(url = "e1")) + good.backendServers[2]),
        "services[1]" to good.copy(backendServers = good.backendServers.take(2)),
        "services[0].models[0].memoryBytes" to model(Model("m1", Fixtures.ENGINE_BYTES + 1)),
        "services[0].models[0].maxTokensPerByte" to
            model(Model("m1", 1, maxTokensPerByte = 1.5)),
        "services[1].routes[0].prefix" to office(bookings.copy(prefix = "/v1/x")),
        "services[1].routes[0].access" to office(bookings.copy(access = Access.OPEN)),
        "limits.rateSlots" to good.copy(limits = Limits(rateSlots = 0))
    )

    @TestFactory
    fun `names the field at fault`(): List<DynamicTest> = rows.map { (field, configuration) ->
        DynamicTest.dynamicTest(field) {
            assertContains(ConfigurationValidator.validate(configuration).map { it.field }, field)
        }
    }

    @Test
    fun `a good document has no faults and reads back as it was written`() {
        assertEquals(emptyList(), ConfigurationValidator.validate(good))
        val read = ConfigurationFormat.read(ConfigurationFormat.write(good))
        assertEquals(good, assertIs<Outcome.Success<Configuration>>(read).value)
    }

    @Test
    fun `an unknown field is refused by name`() {
        val read = ConfigurationFormat.read("{\"clientAcounts\":[]}")
        assertContains(assertIs<Outcome.Failure>(read).refusal.message, "clientAcounts")
    }

    @Test
    fun `tells what a change changes`() {
        val after = good.copy(
            clientAccounts = listOf(account.copy(burstTokens = 9_000), account.copy(name = "new")),
            backendServers = good.backendServers.drop(1)
        )
        assertEquals(
            listOf(
                "add client account new",
                "change client account yard",
                "remove backend server e1"
            ),
            ConfigurationDiff.describe(good, after)
        )
    }
}
