package mustarddale.serving.config

import mustarddale.routing.RendezvousHashing

/** Maps requests to routes by host name and path prefix. */
public class RouteTable(routes: List<RouteConfig>) {
    private val byHost = routes.groupBy { it.host.lowercase() }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }

    /** Returns the route of [host] with the longest prefix of [path], null if none matches. */
    public fun find(host: String, path: String): RouteConfig? =
        byHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /**
     * Returns the service of [route] for the request [requestId]: each service receives requests in
     * proportion to its weight, and the same request always goes to the same service.
     */
    public fun serviceFor(route: RouteConfig, requestId: String): String {
        val total = route.services.sumOf { it.weight }
        if (route.services.size == 1 || total <= 0) return route.services.first().service
        var remaining = RendezvousHashing.slotOf("${route.name}\n$requestId", total)
        return route.services.first { (_, weight) ->
            remaining -= weight
            remaining < 0
        }.service
    }
}
