/*
 * Forwards an admitted request to a backend server and relays the response to the caller. A request
 * that may run only once is sent again only if the previous server did not run it. A resumable
 * stream continues after its last complete event at another server. A response that ends early also
 * closes the caller's connection, so that a truncated response never looks complete. When the
 * instance exits, callers whose responses have not begun still get a final response.
 */
package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.ResponseHeaders
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.error.Refusal
import mustarddale.instance.serving.leader.LeaderLoans
import mustarddale.instance.serving.protocol.ServingProtocol
import mustarddale.instance.serving.state.ServingState
import mustarddale.instance.serving.version.VersionSurvey
import mustarddale.serving.backend.BackendSelector
import mustarddale.serving.buffer.BufferBudget
import mustarddale.time.Clock

/** Writes the response to one caller. */
public interface ResponseWriter {
    /** Whether the response head has been written. */
    public val hasStarted: Boolean

    /** Writes the response head. */
    public fun writeHead(headers: ResponseHeaders)

    /** Writes a chunk of the body and waits until it has been consumed. */
    public suspend fun writeBody(data: HttpData)

    /** Ends a complete response. */
    public fun complete()

    /** Closes the connection, so that the caller sees that the response is incomplete. */
    public fun abort(reason: String)

    /** Writes [refusal] as the whole response. */
    public fun refuse(refusal: Refusal)
}

/** Forwards requests to the backend servers in [state]. */
public class Forwarder(
    internal val state: ServingState,
    internal val backendSelector: BackendSelector,
    internal val backendClient: BackendClient,
    internal val protocol: ServingProtocol,
    internal val localDomain: String,
    internal val loans: LeaderLoans,
    internal val versionSurvey: VersionSurvey,
    internal val buffers: BufferBudget,
    internal val clock: Clock
) {
    private val openJobs = HashSet<Job>()
    internal val capacityQueues = CapacityQueues(state, clock)

    /** Registers the lengths of the queues in [registry]. */
    public fun registerMetrics(registry: MeterRegistry) {
        capacityQueues.registerMetrics(registry)
    }

    /** Forwards [request] and writes the response to [writer]. */
    public suspend fun forward(request: AdmittedRequest, writer: ResponseWriter) {
        val forwarding = RequestForwarding(this, request, writer)
        val budgetMillis = request.deadlineAtMillis - clock.monotonicMillis()
        try {
            val ended = withTimeoutOrNull(budgetMillis.coerceAtLeast(0)) { run(forwarding) }
            if (ended == null) forwarding.timeOut()
        } catch (_: InstanceExit) {
            forwarding.endOnExit()
        }
    }

    private suspend fun run(forwarding: RequestForwarding) {
        val job = currentCoroutineContext().job
        openJobs += job
        try {
            forwarding.run()
        } finally {
            openJobs -= job
        }
    }

    /** Ends all requests that are being forwarded, each with a response that says what is known. */
    public fun endOpenRequests() {
        openJobs.toList().forEach { it.cancel(InstanceExit()) }
    }

    private class InstanceExit : CancellationException("the instance exits")
}
