/*
 * The rules that a configuration must satisfy before it is accepted. Each fault names the invalid
 * field, and all faults are reported at once, so that an operator can fix a document in one pass.
 */
package mustarddale.config

import kotlinx.serialization.Serializable

/** A validation error: the path of the invalid [field] and a [message] for the operator. */
@Serializable
public data class Fault(public val field: String, public val message: String)

/** Validates a whole configuration. */
public object ConfigurationValidator {
    private const val MAX_RATE_SLOTS = 4_096
    private const val MIN_SLOT_LEASE_MILLIS = 10_000L
    private const val MIN_REMEMBER_MILLIS = 60_000L
    private val digestPattern = Regex("[0-9a-f]{64}")
    private val namePattern = Regex("[A-Za-z0-9][A-Za-z0-9._:-]{0,99}")
    private val reservedPrefixes = listOf("/v1", "/health", "/ready")

    /** Returns all faults of [configuration]; it is valid if there are none. */
    public fun validate(configuration: Configuration): List<Fault> = buildList {
        addAll(nameFaults(configuration))
        addAll(accountFaults(configuration.clientAccounts))
        addAll(serviceFaults(configuration.services))
        addAll(serverFaults(configuration))
        addAll(memoryFaults(configuration))
        addAll(limitFaults(configuration.limits))
    }

    private fun nameFaults(configuration: Configuration): List<Fault> = buildList {
        addAll(itemNameFaults("failureDomains", configuration.failureDomains.map { it.name }))
        addAll(itemNameFaults("clientAccounts", configuration.clientAccounts.map { it.name }))
        addAll(itemNameFaults("services", configuration.services.map { it.name }))
        addAll(itemNameFaults("backendServers", configuration.backendServers.map { it.name }))
        val models = configuration.services.flatMap { it.models }
        val publicNames = models.flatMap { model ->
            listOf(model.name) + model.adapters.map { it.name }
        }
        addAll(itemNameFaults("services[].models", publicNames))
    }

    private fun itemNameFaults(path: String, names: List<String>): List<Fault> {
        val seen = mutableSetOf<String>()
        return names.mapIndexedNotNull { index, value ->
            when {
                !namePattern.matches(value) ->
                    Fault("$path[$index].name", "\"$value\" must match ${namePattern.pattern}")
                !seen.add(value) -> Fault("$path[$index].name", "\"$value\" is used more than once")
                else -> null
            }
        }
    }

    private fun accountFaults(accounts: List<ClientAccount>): List<Fault> = buildList {
        accounts.forEachIndexed { index, account ->
            val path = "clientAccounts[$index]"
            if (account.tokensPerSecond <= 0) add(Fault("$path.tokensPerSecond", POSITIVE))
            if (account.burstTokens < account.tokensPerSecond) {
                add(Fault("$path.burstTokens", "must be at least tokensPerSecond"))
            }
            account.keys.forEachIndexed { itemIndex, key ->
                if (!digestPattern.matches(key.sha256)) {
                    add(Fault("$path.keys[$itemIndex].sha256", "must be 64 lower-case hex digits"))
                }
            }
        }
        val digests = accounts.flatMap { it.keys }.groupingBy { it.sha256 }.eachCount()
        if (digests.any { it.value > 1 }) {
            add(Fault("clientAccounts[].keys[].sha256", "each key must appear only once"))
        }
    }

    private fun serviceFaults(services: List<Service>): List<Fault> = buildList {
        services.forEachIndexed { index, service ->
            val path = "services[$index]"
            if (service.models.isEmpty() == service.routes.isEmpty()) {
                add(Fault(path, "must have either models or routes"))
            }
            service.models.forEachIndexed { itemIndex, model ->
                addAll(modelFaults("$path.models[$itemIndex]", model))
            }
            service.routes.forEachIndexed { itemIndex, route ->
                addAll(routeFaults("$path.routes[$itemIndex]", route))
            }
        }
        val prefixes = services.flatMap { it.routes }.groupingBy { it.prefix }.eachCount()
        prefixes.filter { it.value > 1 }.keys.forEach {
            add(Fault("services[].routes[].prefix", "\"$it\" is used more than once"))
        }
    }

    private fun modelFaults(path: String, model: Model): List<Fault> = buildList {
        if (model.memoryBytes <= 0) add(Fault("$path.memoryBytes", POSITIVE))
        if (model.maxOutputTokens <= 0) add(Fault("$path.maxOutputTokens", POSITIVE))
        if (model.maxTokensPerByte <= 0 || model.maxTokensPerByte > 1) {
            add(Fault("$path.maxTokensPerByte", "must be greater than 0 and at most 1"))
        }
        model.adapters.forEachIndexed { index, adapter ->
            if (adapter.memoryBytes < 0) {
                add(Fault("$path.adapters[$index].memoryBytes", "must not be negative"))
            }
        }
    }

    private fun routeFaults(path: String, route: Route): List<Fault> = buildList {
        if (!route.prefix.startsWith("/") || route.prefix.length < 2) {
            add(Fault("$path.prefix", "must start with \"/\" and contain a segment"))
        }
        if (reservedPrefixes.any { route.prefix == it || route.prefix.startsWith("$it/") }) {
            add(Fault("$path.prefix", "the prefixes $reservedPrefixes are reserved"))
        }
        if (route.tokensPerCall < 0) add(Fault("$path.tokensPerCall", "must not be negative"))
        if (!route.repeatable && route.access == Access.OPEN) {
            add(Fault("$path.access", "must be KEYED for a route that is not repeatable"))
        }
    }

    private fun serverFaults(configuration: Configuration): List<Fault> = buildList {
        val services = configuration.services.map { it.name }.toSet()
        val domains = configuration.failureDomains.map { it.name }.toSet()
        configuration.backendServers.forEachIndexed { index, server ->
            val path = "backendServers[$index]"
            if (server.service !in services) {
                add(Fault("$path.service", "no service is named \"${server.service}\""))
            }
            if (server.failureDomain !in domains) {
                val message = "no failure domain is named \"${server.failureDomain}\""
                add(Fault("$path.failureDomain", message))
            }
            if (!server.url.startsWith("http://") && !server.url.startsWith("https://")) {
                add(Fault("$path.url", "must start with http:// or https://"))
            }
            if (server.memoryBytes < 0) add(Fault("$path.memoryBytes", "must not be negative"))
            if (server.coldRequests < 1) add(Fault("$path.coldRequests", "must be at least 1"))
            if (server.maxInFlight < 1) add(Fault("$path.maxInFlight", "must be at least 1"))
        }
    }

    private fun memoryFaults(configuration: Configuration): List<Fault> = buildList {
        configuration.services.forEachIndexed { index, service ->
            val servers = configuration.backendServers.filter { it.service == service.name }
            if (servers.isEmpty()) {
                add(Fault("services[$index]", "must have at least one backend server"))
            }
            val largestBytes = servers.maxOfOrNull { it.memoryBytes } ?: 0
            service.models.forEachIndexed { itemIndex, model ->
                val neededBytes = model.memoryBytes +
                    (model.adapters.maxOfOrNull { it.memoryBytes } ?: 0)
                if (neededBytes > largestBytes) {
                    val message = "$neededBytes bytes with the largest adapter do not fit on any " +
                        "backend server of service \"${service.name}\" (largest $largestBytes)"
                    add(Fault("services[$index].models[$itemIndex].memoryBytes", message))
                }
            }
        }
    }

    private fun limitFaults(limits: Limits): List<Fault> = buildList {
        if (limits.rateSlots !in 1..MAX_RATE_SLOTS) {
            add(Fault("limits.rateSlots", "must be between 1 and $MAX_RATE_SLOTS"))
        }
        if (limits.slotLeaseMillis < MIN_SLOT_LEASE_MILLIS) {
            add(Fault("limits.slotLeaseMillis", "must be at least $MIN_SLOT_LEASE_MILLIS"))
        }
        if (limits.rememberMillis < MIN_REMEMBER_MILLIS) {
            add(Fault("limits.rememberMillis", "must be at least $MIN_REMEMBER_MILLIS"))
        }
        if (limits.modelLoadsAtOnce < 1) add(Fault("limits.modelLoadsAtOnce", "must be at least 1"))
        if (limits.adapterLoadsAtOnce < 1) {
            add(Fault("limits.adapterLoadsAtOnce", "must be at least 1"))
        }
        if (limits.maxRemembered < 1) add(Fault("limits.maxRemembered", "must be at least 1"))
    }

    private const val POSITIVE = "must be greater than 0"
}
