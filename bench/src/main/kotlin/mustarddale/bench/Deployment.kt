package mustarddale.bench

import mustarddale.config.Adapter
import mustarddale.config.ApiKey
import mustarddale.config.BackendServer
import mustarddale.config.ClientAccount
import mustarddale.config.Configuration
import mustarddale.config.FailureDomain
import mustarddale.config.Limits
import mustarddale.config.Model
import mustarddale.config.Service
import mustarddale.key.Sha256

/** The size of a deployment. */
public data class Deployment(
    public val nodes: Int,
    public val engines: Int,
    public val models: Int,
    public val accounts: Int,
    public val domains: Int
) {
    /** A configuration of this size, with eight models to a service. */
    public fun configuration(): Configuration {
        val services = (models + MODELS_PER_SERVICE - 1) / MODELS_PER_SERVICE
        return Configuration(
            failureDomains = List(domains) { FailureDomain("domain-$it") },
            clientAccounts = List(accounts) {
                val keys = List(2) { key -> ApiKey("k$key", Sha256.of("key-$it-$key")) }
                ClientAccount("account-$it", 1_000_000, 4_000_000, keys)
            },
            services = List(services) { Service("service-$it", models = models(it)) },
            backendServers = List(engines) {
                BackendServer(
                    name = "engine-$it",
                    service = "service-${it % services}",
                    url = "http://10.0.${it / OCTET}.${it % OCTET}:8000",
                    failureDomain = "domain-${it % domains}",
                    memoryBytes = 320_000_000_000
                )
            },
            limits = Limits(rateSlots = nodes.coerceAtLeast(60))
        )
    }

    private fun models(service: Int): List<Model> = List(MODELS_PER_SERVICE) { number ->
        val name = "model-$service-$number"
        Model(name, 40_000_000_000, adapters = List(2) { Adapter("$name-$it", 200_000_000) })
    }

    public companion object {
        private const val MODELS_PER_SERVICE = 8
        private const val OCTET = 250

        /** From today's size to the target of the users' first letter. */
        public val SIZES: List<Deployment> = listOf(
            Deployment(nodes = 9, engines = 10, models = 16, accounts = 5, domains = 4),
            Deployment(nodes = 49, engines = 125, models = 40, accounts = 25, domains = 8),
            Deployment(nodes = 195, engines = 500, models = 120, accounts = 100, domains = 16),
            Deployment(nodes = 390, engines = 1_000, models = 240, accounts = 200, domains = 22)
        )
    }
}
