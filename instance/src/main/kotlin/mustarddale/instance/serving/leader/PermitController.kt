/*
 * The leader's permits for requests to backend servers that accept only a few of all instances
 * together: cold ones, and those that have set a limit. Runs on the event loop.
 */
package mustarddale.instance.serving.leader

import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.backend.ColdStartLimiter
import mustarddale.serving.leadership.LeadershipTerm
import mustarddale.serving.limit.LimitObservation
import mustarddale.serving.limit.LimitRegistry
import mustarddale.serving.limit.RequestPacer
import mustarddale.serving.limit.SendPermit
import mustarddale.serving.limit.ServerLimit
import mustarddale.time.Clock

/** Grants permits during one term as leader. */
internal class PermitController(
    private val leadership: LeadershipTerm,
    private val state: ServingState,
    private val clock: Clock
) {
    private val coldStarts = ColdStartLimiter(leadership.sinceMillis)
    private val registry = LimitRegistry()
    private val pacer = RequestPacer(leadership.sinceMillis)

    /** The limits of servers, as far as instances have reported them. */
    val limits: List<ServerLimit> get() = registry.limits

    /** Processes what [report] says of limits; returns whether a limit has changed. */
    fun handleReport(report: LeaderMessage.Report): Boolean {
        val adopted = if (report.term == leadership.term) {
            emptyList()
        } else {
            report.serverLimits.map { LimitObservation(it.server, it.requestsPerSecond, null) }
        }
        return (adopted + report.limitObservations).count { registry.observe(it) } > 0
    }

    /** Grants or refuses a permit for a request of [member]. */
    fun lend(member: String, request: LeaderMessage.PermitWanted): LeaderMessage.LoanAnswer {
        val nowMillis = clock.monotonicMillis()
        val coldWaitMillis = if (request.isCold) coldWaitMillis(request, nowMillis) else 0
        if (coldWaitMillis > 0) return LeaderMessage.LoanAnswer(request.number, coldWaitMillis)
        val limit = listOfNotNull(request.requestsPerSecond, registry.limitOf(request.run))
            .minOrNull() ?: return LeaderMessage.LoanAnswer(request.number, 0)
        val maxDelayMillis = if (request.isCold) 0 else request.maxDelayMillis
        return when (
            val permit = pacer.request(request.run, member, limit, maxDelayMillis, nowMillis)
        ) {
            is SendPermit.Granted ->
                LeaderMessage.LoanAnswer(request.number, 0, permit.delayMillis)

            is SendPermit.Refused -> LeaderMessage.LoanAnswer(request.number, permit.retryMillis)
        }
    }

    private fun coldWaitMillis(request: LeaderMessage.PermitWanted, nowMillis: Long): Long {
        val limit = state.configuration?.services?.get(request.service)?.coldRequestsPerSecond
        return limit?.let { coldStarts.request(request.backend, it, nowMillis) } ?: 0
    }

    /** Forgets servers that have ended. */
    fun tick() {
        if (registry.limits.isEmpty()) return
        val runs = state.directory.backends.mapTo(HashSet()) { it.run }
        registry.retain(runs)
        pacer.retain(runs)
    }
}
