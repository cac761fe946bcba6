package mustarddale.instance.serving.state

import mustarddale.serving.scaling.ServiceLoad

/** Counts the requests of each service for the number of its engines; confined to one thread. */
public class ServiceLoads {
    private val counts = HashMap<String, Counts>()

    /** Records that an engine has begun a request of [service]. */
    public fun recordBegun(service: String) {
        counts.getOrPut(service) { Counts() }.begun++
    }

    /** Records that a request of [service] was refused for lack of capacity. */
    public fun recordRefused(service: String) {
        counts.getOrPut(service) { Counts() }.refused++
    }

    /**
     * Returns the loads of [services] since the last call, and forgets the counts of all.
     *
     * @param running the number of requests at engines, by service.
     * @param waiting the number of requests that wait, by service.
     */
    public fun take(
        services: Collection<String>,
        running: Map<String, Int>,
        waiting: Map<String, Int>
    ): List<ServiceLoad> {
        val loads = services.map {
            val count = counts[it]
            ServiceLoad(
                it,
                running[it] ?: 0,
                waiting[it] ?: 0,
                count?.begun ?: 0,
                count?.refused ?: 0
            )
        }
        counts.clear()
        return loads
    }

    private class Counts {
        var begun = 0
        var refused = 0
    }
}
