package mustarddale.instance.serving.state

import mustarddale.instance.serving.DecisionLog
import mustarddale.serving.backend.Backend
import mustarddale.serving.limit.LimitObservation
import mustarddale.serving.limit.LimitSignal
import mustarddale.serving.limit.LimitView
import mustarddale.serving.limit.PermitRotation
import mustarddale.serving.limit.ServerLimit
import mustarddale.time.Clock

/**
 * The limits that backend servers have set for requests of all instances; confined to one thread.
 *
 * @param onChanged called with the runs of the servers whose limits have changed.
 */
public class ServerLimits(private val clock: Clock, private val onChanged: (Set<String>) -> Unit) {
    private val view = LimitView()
    private val unreadableLimits = HashMap<String, LimitSignal>()

    /** Permits for requests to servers with a limit while there is no leader. */
    public val rotation: PermitRotation = PermitRotation()

    /** The number of servers with a limit. */
    public val size: Int get() = view.requestsPerSecond.size

    /** Returns the requests per second that [server] accepts, null if it sets no limit. */
    public fun limitOf(server: Backend): Double? = view.limitOf(server.run)

    /** Records the [signal] in a response of [server] to a request sent at [sentMillis]. */
    public fun record(server: Backend, signal: LimitSignal, sentMillis: Long) {
        if (signal is LimitSignal.Unreadable && unreadableLimits.put(server.run, signal) == null) {
            DecisionLog.record("server_limit_unreadable", "backend" to server.id, "limit" to signal)
        }
        if (signal !is LimitSignal.Limited && limitOf(server) == null) return
        logChanges("response") {
            view.record(server.run, signal, sentMillis, !rotation.isActive, clock.monotonicMillis())
        }
    }

    /** Applies the [limits] that the leader knows, see [LimitView.update]. */
    public fun update(limits: List<ServerLimit>, reportSentMillis: Long?) {
        if (limits.isEmpty() && view.isEmpty) return
        logChanges("leader") { view.update(limits, reportSentMillis, clock.monotonicMillis()) }
    }

    /** Forgets the leader's revisions, see [LimitView.forgetLeader]. */
    public fun forgetLeader() {
        view.forgetLeader()
    }

    /** Forgets [server], which has ended. */
    public fun forget(server: Backend) {
        view.remove(server.run)
        unreadableLimits.remove(server.run)
    }

    /** Returns all limits. */
    public fun known(): List<ServerLimit> = view.known()

    /** Returns what was learned of limits since the last call. */
    public fun takeObservations(): List<LimitObservation> = view.takeObservations()

    private fun logChanges(source: String, change: () -> Unit) {
        val before = view.requestsPerSecond
        change()
        val after = view.requestsPerSecond
        val changed = (before.keys + after.keys).filterTo(HashSet()) { before[it] != after[it] }
        changed.forEach {
            DecisionLog.record(
                "server_limit",
                "server" to it,
                "requestsPerSecond" to (after[it] ?: "none"),
                "before" to (before[it] ?: "none"),
                "source" to source
            )
        }
        if (changed.isNotEmpty()) onChanged(changed)
    }
}
