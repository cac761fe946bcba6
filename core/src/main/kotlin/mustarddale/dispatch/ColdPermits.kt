/*
 * The fleet's budget for backend servers in cold start. Each request that a cold server can bear is
 * a numbered permit; the permit belongs to a rate slot, and so to the one instance that holds it.
 */
package mustarddale.dispatch

import mustarddale.config.BackendServer
import mustarddale.routing.Rendezvous

/** How many permits this instance owns for each backend server. */
public class ColdPermits private constructor(private val slotsByServer: Map<String, List<Int>>) {
    /** How many requests this instance may have under way at [server] while it is cold. */
    public fun of(server: String): Int = slots(server).size

    /** The slots that the permits for [server] come from. */
    public fun slots(server: String): List<Int> = slotsByServer[server].orEmpty()

    public companion object {
        /** No permit at all. */
        public val NONE: ColdPermits = ColdPermits(emptyMap())

        /** The permits that belong to [usableSlots], of [totalSlots]. */
        public fun of(
            usableSlots: Set<Int>,
            totalSlots: Int,
            servers: List<BackendServer>
        ): ColdPermits {
            if (usableSlots.isEmpty()) return NONE
            val owned = servers.associate { server ->
                val slots = (0 until server.coldRequests)
                    .map { Rendezvous.slot("${server.name}/$it", totalSlots) }
                    .filter { it in usableSlots }
                server.name to slots
            }
            return ColdPermits(owned.filterValues { it.isNotEmpty() })
        }
    }
}
