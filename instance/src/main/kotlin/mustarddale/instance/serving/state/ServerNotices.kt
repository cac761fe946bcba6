package mustarddale.instance.serving.state

import mustarddale.instance.serving.DecisionLog
import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.BackendChange
import mustarddale.serving.backend.BackendDirectory
import mustarddale.serving.backend.BackendLoad
import mustarddale.serving.backend.RestSignal
import mustarddale.time.Clock

/**
 * What backend servers say of themselves in responses: that they leave, or that they want no
 * requests for a time. Confined to one thread.
 *
 * @param onLeaving called with the changes of [directory] when servers leave.
 */
public class ServerNotices(
    private val directory: BackendDirectory,
    private val clock: Clock,
    private val onLeaving: (List<BackendChange>) -> Unit
) {
    private val runsWithUnreadableRest = HashSet<String>()

    /** The servers that leave, for the other instances. */
    public val leavingRuns: Set<String> get() = directory.leavingListedRuns

    /** Records that the servers [runs] leave, as seen at this instance or another one. */
    public fun markLeaving(runs: Set<String>) {
        val changes = runs.mapNotNull { directory.markLeaving(it) }
        if (changes.isNotEmpty()) onLeaving(changes)
    }

    /** Records the [signal] in a refusal of [server], whose load is [load]. */
    public fun recordRest(server: Backend, load: BackendLoad, signal: RestSignal) {
        when (signal) {
            RestSignal.None -> Unit

            is RestSignal.Rest -> {
                load.rest(signal.millis, clock.monotonicMillis())
                DecisionLog.record(
                    "backend_rests",
                    "backend" to server.id,
                    "forMillis" to signal.millis
                )
            }

            is RestSignal.Unreadable -> if (runsWithUnreadableRest.add(server.run)) {
                DecisionLog.record(
                    "backend_rest_unreadable",
                    "backend" to server.id,
                    "text" to signal.text
                )
            }
        }
    }

    /** Forgets [server], which has ended. */
    public fun forget(server: Backend) {
        runsWithUnreadableRest.remove(server.run)
    }
}
