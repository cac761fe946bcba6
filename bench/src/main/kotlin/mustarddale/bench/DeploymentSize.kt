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

/**
 * The size of a deployment.
 *
 * @property instances the instances of this server, which determine the number of rate slots.
 * @property engines the model engines, each one backend server.
 */
public data class DeploymentSize(
    public val instances: Int,
    public val engines: Int,
    public val models: Int,
    public val accounts: Int,
    public val domains: Int
) {
    /** Builds a configuration of this size, with eight models in each service. */
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
                    url = "http://10.0.${it / HOSTS_PER_SUBNET}.${it % HOSTS_PER_SUBNET}:8000",
                    failureDomain = "domain-${it % domains}",
                    memoryBytes = 320_000_000_000
                )
            },
            limits = Limits(rateSlots = instances.coerceAtLeast(60))
        )
    }

    private fun models(serviceIndex: Int): List<Model> = List(MODELS_PER_SERVICE) { modelIndex ->
        val name = "model-$serviceIndex-$modelIndex"
        Model(name, 40_000_000_000, adapters = List(2) { Adapter("$name-$it", 200_000_000) })
    }

    public companion object {
        private const val MODELS_PER_SERVICE = 8
        private const val HOSTS_PER_SUBNET = 250

        /** Sizes from the current deployment (10 engines) to the required maximum (1,000). */
        public val SIZES: List<DeploymentSize> = listOf(
            DeploymentSize(instances = 9, engines = 10, models = 16, accounts = 5, domains = 4),
            DeploymentSize(instances = 49, engines = 125, models = 40, accounts = 25, domains = 8),
            DeploymentSize(
                instances = 195,
                engines = 500,
                models = 120,
                accounts = 100,
                domains = 16
            ),
            DeploymentSize(
                instances = 390,
                engines = 1_000,
                models = 240,
                accounts = 200,
                domains = 22
            )
        )
    }
}
