package mustarddale.instance.serving.forward

import mustarddale.error.ErrorKind
import mustarddale.error.Refusal
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.Candidate
import mustarddale.serving.overload.QueueEntry
import mustarddale.time.Clock

/** Lets [request] wait in [queues] while the servers that it may use are full. */
internal class CapacityGate(
    private val request: AdmittedRequest,
    private val queues: CapacityQueues,
    private val state: ServingState,
    private val requestLog: RequestLog,
    private val clock: Clock
) {
    private val key = CapacityKey(request.service, request.head.model)
    private val account = request.account?.name.orEmpty()
    private var waiter: CapacityWaiter? = null
    private var sentMillis = 0L

    /** Whether the request has been released and not yet been sent. */
    private val isReleased: Boolean get() = waiter?.isReleased ?: false

    /** Whether the request has to wait because others come before it at the same servers. */
    fun isHeldBack(): Boolean =
        !request.isRelayed && !isReleased && queues.holdsBack(key, request.priority)

    /**
     * Whether waiting helps: one of [candidates] is only full. Cold, limited and resting servers
     * have waits of their own, and another instance sends a relayed request elsewhere.
     */
    fun mayWait(candidates: List<Candidate>, excluded: Set<String>, nowMillis: Long): Boolean =
        !request.isRelayed && candidates.any {
            val model = request.head.model
            (model == null || it.backend.holds(model)) && it.backend.id !in excluded &&
                it.requestsPerSecond == null && it.load.restWaitMillis(nowMillis) == 0L &&
                !(it.isColdLimited && it.load.isCold(nowMillis)) &&
                !it.load.isSuspected(nowMillis)
        }

    /**
     * Waits for room; returns why the request is refused, null if servers are to be checked again.
     *
     * @param restriction returns whether the request may use only some of the servers with its
     *   model.
     * @param hasStarted whether the caller has received a part of the response.
     */
    suspend fun refusal(
        restriction: () -> Boolean,
        hasStarted: Boolean,
        hasRoom: () -> Boolean
    ): Refusal? {
        val before = waiter
        val isBack = before != null && before.isReleased
        val entry = if (isBack) before.entry else newEntry(restriction, hasStarted)
        val next = CapacityWaiter(key, entry, hasRoom)
        waiter = next
        val startMillis = clock.monotonicMillis()
        // Its place in the queue is kept, but the next release is not held up.
        val refusal = try {
            before?.let { queues.endRelease(it) }
            queues.await(next, isBack)
        } finally {
            requestLog.queueWaitMillis += clock.monotonicMillis() - startMillis
        } ?: return null
        return Refusal(
            ErrorKind.NO_BACKEND,
            "servers for ${request.head.model ?: "the service"} are full, ${refusal.reason.text}",
            retryAfterMillis = refusal.retryAfterMillis
        )
    }

    /** Records that the request was sent to a server. */
    fun recordSent() {
        sentMillis = clock.monotonicMillis()
        queues.recordSent(key, account, cost(), isReleased)
        endRelease()
    }

    /** Records that the request has ended at [backend]. */
    fun recordEnded(backend: Backend) {
        queues.recordEnded(key, backend, clock.monotonicMillis() - sentMillis)
    }

    /** Records that [backend] has reported its load. */
    fun recordReport(backend: Backend) = queues.onRoom(backend)

    /** Passes the place of a released request that does not take it on to the next one. */
    fun endRelease() {
        waiter?.let { queues.endRelease(it) }
    }

    private fun newEntry(restriction: () -> Boolean, hasStarted: Boolean): QueueEntry {
        val nowMillis = clock.monotonicMillis()
        val route = request.route
        val leavesAtMillis = if (hasStarted) {
            val patienceMillis = route.callerTimeoutMillis ?: Long.MAX_VALUE / 2
            minOf(request.deadlineAtMillis, nowMillis + patienceMillis)
        } else {
            request.firstByteDeadlineAtMillis
        }
        val onTimeByMillis = if (hasStarted) {
            nowMillis + partOf(route.maxEventGapMillis ?: route.latencyTargetMillis)
        } else {
            request.arrivedAtMillis + partOf(route.latencyTargetMillis)
        }
        return QueueEntry(
            requestId = request.head.requestId,
            account = account,
            priority = request.priority,
            cost = cost(),
            sinceMillis = nowMillis,
            onTimeByMillis = onTimeByMillis,
            callerLeavesAtMillis = leavesAtMillis,
            restriction = restriction
        )
    }

    private fun partOf(targetMillis: Long) = (targetMillis * WAIT_SHARE).toLong()

    /** The tokens of the request in seconds of its account's rate, so that rates weigh shares. */
    private fun cost(): Double {
        val rate = request.account?.tokensPerSecond ?: usualRate() ?: return 1.0
        return request.tokens.coerceAtLeast(1.0) / rate
    }

    /** The mean rate of the accounts that have one, which counts for the others. */
    private fun usualRate(): Double? = state.configuration?.meanTokensPerSecond

    private companion object {
        /** The rest of the target is for the server: a prompt takes 25 to 70 ms there. */
        const val WAIT_SHARE = 0.6
    }
}
