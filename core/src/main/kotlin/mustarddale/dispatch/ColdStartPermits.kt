/*
 * Limits the concurrent requests that all instances together send to a backend server during its
 * cold start. There is one numbered permit for each request that a cold server can handle at the
 * same time. A permit belongs to a rate slot (an equal share of all rate limits, see SlotTable) and
 * so to the one instance that holds the slot.
 */
package mustarddale.dispatch

import mustarddale.config.BackendServer
import mustarddale.routing.RendezvousHashing

/** The slots that the cold-start permits for each backend server belong to. */
public class ColdStartPermits private constructor(
    private val slotsByServer: Map<String, List<Int>>
) {
    /** Returns how many requests may be in flight at [server] while it is cold. */
    public fun count(server: String): Int = slots(server).size

    /** Returns the slot of each permit for [server]. */
    public fun slots(server: String): List<Int> = slotsByServer[server].orEmpty()

    /** Returns only the permits that belong to [usableSlots]. */
    public fun restrictTo(usableSlots: Set<Int>): ColdStartPermits {
        if (usableSlots.isEmpty()) return NONE
        val permitted = HashMap<String, List<Int>>()
        slotsByServer.forEach { (server, slots) ->
            val usable = slots.filter { it in usableSlots }
            if (usable.isNotEmpty()) permitted[server] = usable
        }
        return ColdStartPermits(permitted)
    }

    public companion object {
        /** No permits. */
        public val NONE: ColdStartPermits = ColdStartPermits(emptyMap())

        /** Returns the permits of all instances for [servers]. */
        public fun all(totalSlots: Int, servers: List<BackendServer>): ColdStartPermits =
            ColdStartPermits(
                servers.associate { server ->
                    server.name to (0 until server.coldRequests)
                        .map { RendezvousHashing.slotOf("${server.name}/$it", totalSlots) }
                }
            )
    }
}
