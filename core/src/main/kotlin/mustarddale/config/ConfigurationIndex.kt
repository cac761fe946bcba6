package mustarddale.config

/** A model as callers name it: a model itself, or an adapter on its base model. */
public data class ModelEntry(
    public val service: String,
    public val model: Model,
    public val adapter: Adapter?
) {
    /** The name that callers use. */
    public val publicName: String get() = adapter?.name ?: model.name
}

/** A route with the service that it leads to. */
public data class RouteEntry(public val service: String, public val route: Route)

/** Look-ups into one [configuration], made once for each revision. */
public class ConfigurationIndex(public val configuration: Configuration) {
    private val accountsByDigest: Map<String, ClientAccount> =
        configuration.clientAccounts
            .flatMap { account -> account.keys.map { it.sha256 to account } }
            .toMap()

    private val accountsByName: Map<String, ClientAccount> =
        configuration.clientAccounts.associateBy { it.name }

    /** All models and adapters by the name that callers use. */
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

    /** The account whose key has the digest [sha256]. */
    public fun accountByKeyDigest(sha256: String): ClientAccount? = accountsByDigest[sha256]

    /** The account called [name]. */
    public fun account(name: String): ClientAccount? = accountsByName[name]

    /** The route with the longest prefix that [path] starts with at a segment border. */
    public fun route(path: String): RouteEntry? =
        routes.firstOrNull { isUnder(path, it.route.prefix) }

    /** The backend server called [name]. */
    public fun server(name: String): BackendServer? = serversByName[name]

    /** All backend servers of [service], in and out. */
    public fun servers(service: String): List<BackendServer> = serversByService[service].orEmpty()

    /** Whether [server] may be given new work. */
    public fun isAvailable(server: BackendServer): Boolean =
        server.state == Availability.IN && server.failureDomain !in unavailableDomains

    private fun entriesOf(service: Service): List<ModelEntry> = service.models.flatMap { model ->
        listOf(ModelEntry(service.name, model, adapter = null)) +
            model.adapters.map { ModelEntry(service.name, model, it) }
    }

    private fun isUnder(path: String, prefix: String): Boolean =
        path == prefix || path.startsWith(prefix.trimEnd('/') + "/")
}
