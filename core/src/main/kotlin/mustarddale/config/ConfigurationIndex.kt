package mustarddale.config

/** A model name that callers use: either a model, or an adapter with its base model. */
public data class ModelEntry(
    public val service: String,
    public val model: Model,
    public val adapter: Adapter?
) {
    /** The model name in requests. */
    public val publicName: String get() = adapter?.name ?: model.name
}

/** A route and the service that it leads to. */
public data class RouteEntry(public val service: String, public val route: Route)

/** Lookup tables for one [configuration], built once per revision. */
public class ConfigurationIndex(public val configuration: Configuration) {
    private val accountsByDigest: Map<String, ClientAccount> =
        configuration.clientAccounts
            .flatMap { account -> account.keys.map { it.sha256 to account } }
            .toMap()

    private val accountsByName: Map<String, ClientAccount> =
        configuration.clientAccounts.associateBy { it.name }

    /** All models and adapters by [ModelEntry.publicName]. */
    public val models: Map<String, ModelEntry> =
        configuration.services.flatMap(::entriesOf).associateBy { it.publicName }

    private val routes: List<RouteEntry> =
        configuration.services
            .flatMap { service -> service.routes.map { RouteEntry(service.name, it) } }
            .sortedByDescending { it.route.prefix.length }

    private val unavailableDomains: Set<String> =
        configuration.failureDomains
            .filter { it.state == Availability.OUT }
            .map { it.name }
            .toSet()

    private val serversByService: Map<String, List<BackendServer>> =
        configuration.backendServers.groupBy { it.service }

    private val serversByName: Map<String, BackendServer> =
        configuration.backendServers.associateBy { it.name }

    /** Returns the account that has a key with the digest [sha256], null if there is none. */
    public fun accountByKeyDigest(sha256: String): ClientAccount? = accountsByDigest[sha256]

    /** Returns the account named [name], null if there is none. */
    public fun account(name: String): ClientAccount? = accountsByName[name]

    /** Returns the route with the longest prefix that ends at a segment of [path], null if none. */
    public fun route(path: String): RouteEntry? =
        routes.firstOrNull { hasPathPrefix(path, it.route.prefix) }

    /** Returns the backend server named [name], null if there is none. */
    public fun server(name: String): BackendServer? = serversByName[name]

    /** Returns all backend servers of [service], in and out of service. */
    public fun servers(service: String): List<BackendServer> = serversByService[service].orEmpty()

    /** Whether [server] and its failure domain are in service. */
    public fun isAvailable(server: BackendServer): Boolean =
        server.state == Availability.IN && server.failureDomain !in unavailableDomains

    private fun entriesOf(service: Service): List<ModelEntry> = service.models.flatMap { model ->
        listOf(ModelEntry(service.name, model, adapter = null)) +
            model.adapters.map { ModelEntry(service.name, model, it) }
    }

    private fun hasPathPrefix(path: String, prefix: String): Boolean =
        path == prefix || path.startsWith(prefix.trimEnd('/') + "/")
}
