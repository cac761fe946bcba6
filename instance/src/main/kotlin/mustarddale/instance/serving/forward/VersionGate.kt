/*
 * Keeps a stream at servers of the software version that began it, within one response and when its
 * client takes it up again, here or at another instance.
 */
package mustarddale.instance.serving.forward

import mustarddale.error.ErrorKind
import mustarddale.error.Refusal
import mustarddale.instance.serving.leader.LeaderLoans
import mustarddale.instance.serving.relay.RelayAnswer
import mustarddale.instance.serving.state.ServingState
import mustarddale.instance.serving.version.VersionSurvey
import mustarddale.serving.backend.Backend
import mustarddale.serving.config.Repeatability
import mustarddale.time.Clock

/**
 * Finds out which version began the stream that [request] continues, and records new streams.
 *
 * A stream that goes on has one version from its first event to its last. It is settled before the
 * request waits for anything, so that a version which comes in the meantime can't continue it.
 */
internal class VersionGate(
    private val request: AdmittedRequest,
    private val state: ServingState,
    private val survey: VersionSurvey,
    private val loans: LeaderLoans,
    private val requestLog: RequestLog,
    private val clock: Clock
) {
    private val versions = state.streamVersions
    private val isResumable = request.route.repeatability == Repeatability.RESUMABLE
    private val continuesStream =
        request.head.resumedRequestId != null || request.head.lastEventId != null

    /** The id under which the version of the stream is recorded, null if no record can be found. */
    private val stream: String? = if (continuesStream) {
        request.head.resumedRequestId
    } else {
        request.head.requestId
    }

    /** The software version that began the stream, null if it is not known or there is none. */
    var version: String? = request.serverVersion
        private set

    /** Whether the version keeps the request from some servers of the service. */
    val isRestricting: Boolean
        get() = version != null && versions.history.isMixed(request.service)

    /** Whether the request may be sent to [server]. */
    fun allows(server: Backend): Boolean = version == null || server.version == version

    /**
     * Waits until the version of a stream that has begun is known; returns why the stream can't
     * continue, null if it can.
     *
     * @param hasEvents whether the caller has events of the stream; another instance may have
     *   relayed them, which knows their version.
     */
    suspend fun refusal(hasEvents: Boolean): Refusal? {
        val hasBegun = continuesStream || (isResumable && hasEvents)
        if (!hasBegun || version != null) return null
        val startMillis = clock.monotonicMillis()
        val search = VersionSearch(request.service, stream, versions, survey, loans, clock)
        val deadlineMillis =
            if (continuesStream) request.firstByteDeadlineAtMillis else request.deadlineAtMillis
        val found = search.find(deadlineMillis)
        version = found?.version
        requestLog.logStreamResumed(
            version,
            found?.source,
            survey.listAgeMillis,
            clock.monotonicMillis() - startMillis
        )
        if (found != null) return null
        return Refusal(
            ErrorKind.STREAM_NOT_RESUMABLE,
            "the software version that began the stream is not known",
            retryAfterMillis = RETRY_AFTER_MILLIS
        )
    }

    /**
     * Returns the [response] of a server with [serverVersion], which it names if the response goes
     * to another instance. Its head can't be sent twice, so the stream keeps to the version.
     */
    fun label(response: SendResult.Responded, serverVersion: String): SendResult.Responded {
        if (!request.isRelayed) return response
        if (isResumable && version == null) version = serverVersion
        return response.copy(headers = RelayAnswer.addTo(response.headers, serverVersion))
    }

    /** Records that a server with [serverVersion] wrote the first event that came through here. */
    fun recordFirstEvent(serverVersion: String) {
        if (!isResumable) return
        if (version == null) version = serverVersion
        versions.record(request.head.resumedRequestId ?: request.head.requestId, serverVersion)
    }

    private companion object {
        /** In this time an instance regains the leader or the log, or the caller finds another. */
        const val RETRY_AFTER_MILLIS = 500L
    }
}
