/*
 * The Tōtara Line deployment of the brief as a sample: three failure domains, six report-writer and
 * three booking engines, twenty models with forty adapters, one plain service, five accounts.
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

/** The sample configuration. */
internal object TotaraLine {
    const val REPORT_ENGINES = 6
    const val BOOKING_ENGINES = 3
    const val ENGINE_MEMORY_BYTES = 80_000_000_000L
    private const val MODEL_MEMORY_BYTES = 16_000_000_000L
    private const val ADAPTER_MEMORY_BYTES = 100_000_000L
    private const val REPORT_MODELS = 14
    private const val BOOKING_MODELS = 6

    /** A demo key for each account. */
    val keys: Map<String, String> = listOf("yard", "growers", "builders", "gardens", "office")
        .associateWith { "md-demo-$it" }

    private val domains = listOf("nz-north-a", "nz-north-b", "nz-north-c")
    private val reportModels = models("report", REPORT_MODELS)
    private val bookingModels = models("booking", BOOKING_MODELS)

    /** The models that the engine with [number] of a service with [engines] starts with. */
    fun preloaded(isReport: Boolean, number: Int): Map<String, Long> {
        val models = if (isReport) reportModels else bookingModels
        val engines = if (isReport) REPORT_ENGINES else BOOKING_ENGINES
        return models.filterIndexed { index, _ -> index % engines == number }
            .associate { it.name to it.memoryBytes }
    }

    /** The configuration with the engines and the plain service at the given URLs. */
    fun configuration(
        reportUrls: List<String>,
        bookingUrls: List<String>,
        serviceUrl: String
    ): Configuration = Configuration(
        failureDomains = domains.map { FailureDomain(it) },
        clientAccounts = keys.map { (name, key) ->
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

    private fun models(kind: String, count: Int): List<Model> = (1..count).map { number ->
        Model(
            name = "$kind-$number",
            memoryBytes = MODEL_MEMORY_BYTES,
            maxOutputTokens = 512,
            adapters = listOf("a", "b").map { Adapter("$kind-$number-$it", ADAPTER_MEMORY_BYTES) }
        )
    }
}
