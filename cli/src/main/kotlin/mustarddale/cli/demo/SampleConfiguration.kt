/*
 * Sample configuration of the demo: three failure domains, six report-writer and three booking
 * engines, twenty models with forty adapters, one service without models and five client accounts.
 */
package mustarddale.cli.demo

import mustarddale.config.Access
import mustarddale.config.Adapter
import mustarddale.config.ApiKey
import mustarddale.config.BackendServer
import mustarddale.config.ClientAccount
import mustarddale.config.Configuration
import mustarddale.config.FailureDomain
import mustarddale.config.Limits
import mustarddale.config.Model
import mustarddale.config.Route
import mustarddale.config.Service
import mustarddale.key.Sha256

/** Creates the sample configuration. */
internal object SampleConfiguration {
    const val REPORT_ENGINE_COUNT = 6
    const val BOOKING_ENGINE_COUNT = 3
    const val ENGINE_MEMORY_BYTES = 80_000_000_000L
    private const val MODEL_MEMORY_BYTES = 16_000_000_000L
    private const val ADAPTER_MEMORY_BYTES = 100_000_000L
    private const val REPORT_MODEL_COUNT = 14
    private const val BOOKING_MODEL_COUNT = 6

    /** API keys by the name of their client account. */
    val apiKeys: Map<String, String> = listOf("yard", "growers", "builders", "gardens", "office")
        .associateWith { "md-demo-$it" }

    private val domains = listOf("nz-north-a", "nz-north-b", "nz-north-c")
    private val reportModels = models("report", REPORT_MODEL_COUNT)
    private val bookingModels = models("booking", BOOKING_MODEL_COUNT)

    /** Returns the models that the engine [number] holds at startup, as memory in bytes by name. */
    fun preloadedModels(isReportEngine: Boolean, number: Int): Map<String, Long> {
        val models = if (isReportEngine) reportModels else bookingModels
        val engineCount = if (isReportEngine) REPORT_ENGINE_COUNT else BOOKING_ENGINE_COUNT
        return models.filterIndexed { index, _ -> index % engineCount == number }
            .associate { it.name to it.memoryBytes }
    }

    /** Returns the configuration with the backend servers at the given URLs. */
    fun create(
        reportUrls: List<String>,
        bookingUrls: List<String>,
        serviceUrl: String
    ): Configuration = Configuration(
        failureDomains = domains.map { FailureDomain(it) },
        clientAccounts = apiKeys.map { (name, key) ->
            ClientAccount(
                name = name,
                tokensPerSecond = if (name == "yard") 20_000 else 8_000,
                burstTokens = if (name == "yard") 80_000 else 32_000,
                keys = listOf(ApiKey("demo", Sha256.of(key)))
            )
        },
        services = listOf(
            Service("report-writer", models = reportModels),
            Service("booking-assistant", models = bookingModels),
            Service(
                "yard-office",
                routes = listOf(
                    Route("/bookings", Access.KEYED, repeatable = false, tokensPerCall = 10),
                    Route("/lookups", Access.OPEN, repeatable = true, tokensPerCall = 1)
                )
            )
        ),
        backendServers = engines("report-writer", reportUrls) +
            engines("booking-assistant", bookingUrls) +
            BackendServer("yard-office-1", "yard-office", serviceUrl, domains[0]),
        limits = Limits(modelLoadsAtOnce = 2, adapterLoadsAtOnce = 49)
    )

    private fun engines(service: String, urls: List<String>): List<BackendServer> =
        urls.mapIndexed { index, url ->
            BackendServer(
                name = "$service-${index + 1}",
                service = service,
                url = url,
                failureDomain = domains[index % domains.size],
                memoryBytes = ENGINE_MEMORY_BYTES,
                checksFencing = index % 2 == 0,
                coldRequests = 2,
                maxInFlight = 64
            )
        }

    private fun models(prefix: String, count: Int): List<Model> = (1..count).map { number ->
        Model(
            name = "$prefix-$number",
            memoryBytes = MODEL_MEMORY_BYTES,
            maxOutputTokens = 512,
            adapters = listOf("a", "b").map { Adapter("$prefix-$number-$it", ADAPTER_MEMORY_BYTES) }
        )
    }
}
