/*
 * The fleet's budget for backend servers in cold start. Each request that a cold server can bear is
 * a numbered permit; the permit belongs to a rate slot, and so to the one instance that holds it.
 */
package mustarddale.dispatch

import mustarddale.config.BackendServer
import mustarddale.routing.RendezvousHashing

/** How many permits this instance owns for each backend server. */
public class ColdStartPermits private constructor(
    private val slotsByServer: Map<String, List<Int>>
) {
    /** How many requests this instance may have under way at [server] while it is cold. */
    public fun of(server: String): Int = slots(server).size

    /** The slots that the permits for [server] come from. */
    public fun slots(server: String): List<Int> = slotsByServer[server].orEmpty()

    /** Those of these permits that belong to [usableSlots]. */
    public fun within(usableSlots: Set<Int>): ColdStartPermits {
        if (usableSlots.isEmpty()) return NONE
        val owned = HashMap<String, List<Int>>()
        slotsByServer.forEach { (server, slots) ->
            val usable = slots.filter { it in usableSlots }
            if (usable.isNotEmpty()) owned[server] = usable
        }
        return ColdStartPermits(owned)
    }

    public companion object {
        /** No permit at all. */
        public val NONE: ColdStartPermits = ColdStartPermits(emptyMap())

        /** All permits for [servers], whoever holds the slots that they belong to. */
        public fun all(totalSlots: Int, servers: List<BackendServer>): ColdStartPermits =
            ColdStartPermits(
                servers.associate { server ->
                    server.name to (0 until server.coldRequests)
                        .map { RendezvousHashing.slotOf("${server.name}/$it", totalSlots) }
                }
            )
    }
}
