package mustarddale.serving.config

import mustarddale.routing.RendezvousHashing

/** Finds the route of a request. */
public class RouteTable(routes: List<ServedRoute>) {
    private val byHost = routes.groupBy { it.host.lowercase() }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }

    /**
     * Returns the route of [host] with the longest prefix that begins [path], null if none does.
     */
    public fun find(host: String, path: String): ServedRoute? =
        byHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the service of [route] for the request [requestId], by the services' weights. */
    public fun serviceFor(route: ServedRoute, requestId: String): String {
        val total = route.services.sumOf { it.weight }
        if (route.services.size == 1 || total <= 0) return route.services.first().service
        var rest = RendezvousHashing.slotOf("${route.name}\n$requestId", total)
        return route.services.first { (_, weight) ->
            rest -= weight
            rest < 0
        }.service
    }
}
