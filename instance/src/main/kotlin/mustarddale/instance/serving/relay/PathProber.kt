/*
 * Tries to connect to servers that this instance can't reach. No request is risked for it, and
 * requests return to the direct path as soon as a connection is established.
 */
package mustarddale.instance.serving.relay

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import mustarddale.instance.http.ConnectionProbe
import mustarddale.instance.http.ProbeResult
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.BackendAddress

/**
 * Probes the servers in [state] by [connections]; confined to the event loop.
 *
 * @param routeTo returns where this machine reaches the server at an address.
 */
public class PathProber(
    private val scope: CoroutineScope,
    private val state: ServingState,
    private val connections: ConnectionProbe,
    private val routeTo: (BackendAddress) -> BackendAddress
) {
    private val pendingIds = HashSet<String>()
    private var nextIndex = 0

    /** Probes a few servers of each service that lacks some. */
    public fun probe() {
        state.paths.shortServices.forEach { service ->
            val servers = state.directory.backends.filter { it.service == service }
            // Servers that were never tried are probed too, as those that were may have crashed.
            val isCutOff = state.paths.isCutOff(service)
            val targets = servers.filter { isCutOff || state.paths.isUnreached(it) }
            repeat(minOf(PROBES_AT_ONCE, targets.size)) {
                probe(targets[nextIndex++ % targets.size])
            }
        }
    }

    private fun probe(server: Backend) {
        if (!pendingIds.add(server.id)) return
        scope.launch {
            val address = routeTo(server.address)
            val result = connections.connect(address.host, address.port)
            pendingIds -= server.id
            if (result == ProbeResult.ACCEPTED) {
                state.paths.recordReached(server)
                state.loadOf(server).endSuspicion()
            } else {
                state.paths.recordUnreached(server)
            }
        }
    }

    internal companion object {
        const val INTERVAL_MILLIS = 250L

        /** Bounds the connections that many instances open when a path comes back. */
        private const val PROBES_AT_ONCE = 2
    }
}
