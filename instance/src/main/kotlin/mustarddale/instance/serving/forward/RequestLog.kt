package mustarddale.instance.serving.forward

import io.micrometer.core.instrument.Metrics
import io.micrometer.core.instrument.Timer
import java.time.Duration
import java.util.Locale
import java.util.concurrent.TimeUnit
import mustarddale.instance.http.BodyFraming
import mustarddale.instance.serving.DecisionLog
import mustarddale.serving.backend.BackendSelection
import mustarddale.time.Clock

/** Logs the attempts and the outcome of [request], admitted under [configurationVersion]. */
internal class RequestLog(
    private val request: AdmittedRequest,
    private val configurationVersion: Long?,
    private val clock: Clock
) {
    private var responseHeadMillis: Long? = null

    /** Time that the request has waited for its model so far, in milliseconds. */
    var modelWaitMillis: Long = 0

    /** Time that the request has waited for permits so far, in milliseconds. */
    var permitWaitMillis: Long = 0

    /** Time that the request has waited for room at servers so far, in milliseconds. */
    var queueWaitMillis: Long = 0

    /** Number of backend servers that the request was sent to. */
    var reachedBackends: Int = 0
        private set

    /**
     * Logs the [result] of sending the request to the server [chosen] at [sentMillis].
     *
     * @param reportedLoadAgeMillis age of the load that the server reported last, null if it
     *   reported none.
     */
    fun logAttempt(
        chosen: BackendSelection.Selected,
        reportedLoadAgeMillis: Long?,
        result: SendResult,
        sentMillis: Long
    ) {
        val nowMillis = clock.monotonicMillis()
        if (result !is SendResult.NotSent) reachedBackends++
        if (result is SendResult.Responded && responseHeadMillis == null) {
            responseHeadMillis = nowMillis - request.arrivedAtMillis
        }
        DecisionLog.recordRequest(
            "sent",
            request.head.requestId,
            isSuccess = result is SendResult.Responded && !result.headers.status().isServerError,
            "backend" to chosen.backend.id,
            "cost" to "%.3f".format(Locale.ROOT, chosen.cost),
            "open" to chosen.availableCount,
            "holders" to chosen.holderCount,
            "toldAgeMillis" to reportedLoadAgeMillis,
            "wanted" to request.head.model,
            "tookMillis" to nowMillis - sentMillis,
            "outcome" to outcomeText(result),
            "digest" to request.digest.takeIf { result is SendResult.OutcomeUnknown }
        )
    }

    /** Logs the [result] of sending the request through the instance [peer] at [sentMillis]. */
    fun logRelay(peer: String, result: SendResult, sentMillis: Long) {
        val nowMillis = clock.monotonicMillis()
        val isTaken = result is SendResult.Responded || result is SendResult.OutcomeUnknown
        if (isTaken) reachedBackends++
        if (result is SendResult.Responded && responseHeadMillis == null) {
            responseHeadMillis = nowMillis - request.arrivedAtMillis
        }
        DecisionLog.recordRequest(
            "relayed",
            request.head.requestId,
            isSuccess = result is SendResult.Responded && !result.headers.status().isServerError,
            "peer" to peer,
            "tookMillis" to nowMillis - sentMillis,
            "outcome" to outcomeText(result)
        )
    }

    /**
     * Logs that there is no permit for a request to the server [target] for [waitMillis], null if
     * the leader did not answer.
     */
    fun logPermitRefused(target: BackendSelection.Selected, waitMillis: Long?) {
        DecisionLog.recordRequest(
            if (target.needsColdPermit) "cold_permit_refused" else "permit_refused",
            request.head.requestId,
            isSuccess = false,
            "backend" to target.backend.id,
            "service" to request.service,
            "requestsPerSecond" to target.requestsPerSecond,
            "waitMillis" to (waitMillis ?: "no leader answered")
        )
    }

    /** Logs that the stream continues at servers with [version], which [source] has named. */
    fun logStreamResumed(
        version: String?,
        source: String?,
        listAgeMillis: Long,
        waitedMillis: Long
    ) {
        DecisionLog.recordRequest(
            "stream_resumed",
            request.head.requestId,
            isSuccess = version != null,
            "resumes" to request.head.resumedRequestId,
            "version" to (version ?: "unknown"),
            "source" to source,
            "listAgeMillis" to listAgeMillis,
            "waitedMillis" to waitedMillis
        )
    }

    /**
     * Logs the end of a response body that only the end of its connection marks, or that is
     * incomplete because of [error].
     *
     * @param partialEventBytes length of the incomplete event at its end.
     */
    fun logResponseEnd(framing: BodyFraming?, partialEventBytes: Int, error: String?) {
        if (framing != BodyFraming.CONNECTION_CLOSE && error == null) return
        DecisionLog.recordRequest(
            "response_ended",
            request.head.requestId,
            isSuccess = error == null && partialEventBytes == 0,
            "framing" to framing,
            "partialEventBytes" to partialEventBytes,
            "error" to error
        )
    }

    /** Logs that the caller has received its complete response with [status]. */
    fun logFinished(status: String) {
        responseHeadMillis?.let { firstByteTimer().record(it, TimeUnit.MILLISECONDS) }
        logEnd("finished", status, isSuccess = !status.startsWith("5"))
    }

    /** Logs [event], which ended the request. */
    fun logEnd(event: String, reason: String, isSuccess: Boolean = false) {
        DecisionLog.recordRequest(
            event,
            request.head.requestId,
            isSuccess,
            "route" to request.route.name,
            "service" to request.service,
            "wanted" to request.head.model,
            "account" to request.account?.name,
            "tokens" to request.tokens.toLong(),
            "reason" to reason,
            "afterMillis" to clock.monotonicMillis() - request.arrivedAtMillis,
            "waitedMillis" to modelWaitMillis,
            "permitMillis" to permitWaitMillis.takeIf { it > 0 },
            "queuedMillis" to queueWaitMillis.takeIf { it > 0 },
            "firstMillis" to responseHeadMillis,
            "arrivals" to reachedBackends,
            "version" to configurationVersion
        )
    }

    private fun outcomeText(result: SendResult): String = when (result) {
        is SendResult.Responded -> result.headers.status().codeAsText()
        is SendResult.NotRun -> if (result.isMisdirected) "not here" else "not run"
        is SendResult.NotSent -> "not sent: ${result.reason}"
        is SendResult.OutcomeUnknown -> "lost: ${result.reason}"
    }

    /** Measures the time from a request's arrival to the head of its response. */
    private fun firstByteTimer(): Timer = Timer.builder("mustarddale.first.byte")
        .tag("service", request.service)
        .publishPercentileHistogram()
        .minimumExpectedValue(Duration.ofMillis(1))
        .maximumExpectedValue(Duration.ofSeconds(MAX_FIRST_BYTE_SECONDS))
        .register(Metrics.globalRegistry)

    private companion object {
        /** The longest time that callers wait. */
        const val MAX_FIRST_BYTE_SECONDS = 20L
    }
}
