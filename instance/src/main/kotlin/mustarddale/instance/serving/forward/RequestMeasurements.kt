package mustarddale.instance.serving.forward

import mustarddale.instance.serving.state.ServiceModel
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.backend.BackendLoad
import mustarddale.time.Clock

/** Records what [request] shows of servers, models and the use of its account in [state]. */
internal class RequestMeasurements(
    private val request: AdmittedRequest,
    private val state: ServingState,
    private val clock: Clock
) {
    private var answeredMillis = 0L
    private var hasBegun = false

    /** Records that the first event, or the response, has arrived. */
    fun recordAnswer() {
        answeredMillis = clock.monotonicMillis()
    }

    /** Counts the request for its account once, however many servers have begun it. */
    fun recordBegun() {
        if (hasBegun) return
        hasBegun = true
        request.account?.let { state.usage?.record(it.name) }
        state.serviceLoads?.recordBegun(request.service)
    }

    /** The time before the first event is mostly spent in the server's queue, so it is left out. */
    fun recordCompleted() {
        val model = request.head.model ?: return
        val slotMillis = clock.monotonicMillis() - answeredMillis + PROMPT_MILLIS
        state.recordCompleted(ServiceModel(request.service, model), slotMillis)
    }

    /** Records the times of a success; those of a stream that was taken up would be of a part. */
    fun recordTimes(load: BackendLoad, result: SendResult, requestCount: Double, sentMillis: Long) {
        val isSuccess = result is SendResult.Responded && result.headers.status().isSuccess
        if (!isSuccess || answeredMillis < sentMillis) return
        load.recordServed(
            request.head.size,
            request.route.isStream,
            requestCount,
            sentMillis,
            answeredMillis,
            clock.monotonicMillis()
        )
    }

    private companion object {
        /** About the time in which an engine reads a prompt. */
        const val PROMPT_MILLIS = 30L
    }
}
