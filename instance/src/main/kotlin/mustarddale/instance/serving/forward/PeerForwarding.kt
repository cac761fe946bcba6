/*
 * Sends a request through another instance, because this one can't reach the servers. The request
 * stays admitted here, and the other instance uses its own permits, limits and verdicts. It relays
 * nothing further. Only its word that it has not sent the request to a server allows another try.
 */
package mustarddale.instance.serving.forward

import mustarddale.error.ErrorKind
import mustarddale.error.Refusal
import mustarddale.instance.serving.protocol.BackendAttempt
import mustarddale.instance.serving.relay.RelayAnswer
import mustarddale.instance.serving.relay.RelayEnvelope
import mustarddale.serving.backend.BackendAddress
import mustarddale.serving.backend.Candidate
import mustarddale.serving.backend.RestSignal
import mustarddale.serving.backend.holdersOf
import mustarddale.serving.path.RelayPeer

/** The result of sending a request through other instances. */
internal sealed interface PeerOutcome {
    /** The caller has the whole response. */
    data object Answered : PeerOutcome

    /** No instance could take the request, so it has not run. */
    data object NoPeer : PeerOutcome

    /** An instance has refused the request for all; it has not run. */
    data class Refused(val refusal: Refusal) : PeerOutcome

    /** The request may have run; [isFinal] if the caller has what there is. */
    data class Failed(val reason: String, val isFinal: Boolean) : PeerOutcome
}

/** Sends [request] through other instances and passes the response to [relay]. */
internal class PeerForwarding(
    private val forwarder: Forwarder,
    private val request: AdmittedRequest,
    private val relay: ResponseRelay,
    private val requestLog: RequestLog
) {
    private val state = forwarder.state
    private val triedRuns = HashSet<String>()

    /** The software version of the server whose response is relayed, null if it is not known. */
    var answeringVersion: String? = null
        private set

    /** Whether the request goes through another instance without a direct attempt. */
    fun isNeeded(): Boolean = !request.isRelayed && state.paths.isCutOff(request.service)

    /** Whether another instance may reach [candidates] for the request that this one doesn't. */
    fun mayReachMore(candidates: List<Candidate>): Boolean {
        if (request.isRelayed || !state.paths.hasSeveralUnreached) return false
        val holders = candidates.holdersOf(request.head.model)
        return holders.isNotEmpty() && holders.all { state.paths.isUnreached(it.backend) }
    }

    /** Sends the request to one instance after the other until one takes it. */
    suspend fun send(maxAttempts: Int, serverVersion: String?): PeerOutcome {
        while (triedRuns.size < MAX_PEERS) {
            val peer = state.relayPeers.choose(forwarder.localDomain, triedRuns) ?: break
            triedRuns += peer.run
            val outcome = sendTo(peer, envelopeFor(peer, maxAttempts, serverVersion))
            if (outcome != PeerOutcome.NoPeer) return outcome
            state.relayPeers.avoid(peer)
        }
        return PeerOutcome.NoPeer
    }

    private fun envelopeFor(peer: RelayPeer, maxAttempts: Int, serverVersion: String?) =
        RelayEnvelope(
            run = peer.run,
            account = request.account?.name,
            configurationVersion = request.configurationVersion,
            maxAttempts = maxAttempts,
            serverVersion = serverVersion
        )

    private suspend fun sendTo(peer: RelayPeer, envelope: RelayEnvelope): PeerOutcome {
        val attempt = BackendAttempt(
            serverId = peer.run,
            remainingMillis = (request.deadlineAtMillis - forwarder.clock.monotonicMillis())
                .coerceAtLeast(1),
            account = request.account?.name,
            priority = request.priority,
            lastEventId = relay.lastEventId
        )
        val headers = forwarder.protocol.backendHeaders(request.headers, attempt)
        val sentMillis = forwarder.clock.monotonicMillis()
        state.relayPeers.recordSent(peer)
        try {
            val result = forwarder.backendClient.send(
                BackendAddress(peer.host, peer.port),
                request.head.requestId,
                envelope.addTo(headers),
                request.body.data
            )
            requestLog.logRelay(peer.instance, result, sentMillis)
            return outcomeOf(peer, result)
        } finally {
            state.relayPeers.recordEnded(peer)
        }
    }

    private suspend fun outcomeOf(peer: RelayPeer, result: SendResult): PeerOutcome =
        when (result) {
            is SendResult.NotSent -> PeerOutcome.NoPeer

            is SendResult.NotRun ->
                if (result.isMisdirected) {
                    PeerOutcome.NoPeer
                } else {
                    val retryMillis = (result.head.rest as? RestSignal.Rest)?.millis
                    PeerOutcome.Refused(
                        Refusal(
                            ErrorKind.NO_BACKEND,
                            "${peer.instance} has no server for the request",
                            retryAfterMillis = retryMillis
                        )
                    )
                }

            is SendResult.OutcomeUnknown ->
                PeerOutcome.Failed("${peer.instance}: ${result.reason}", isFinal = false)

            is SendResult.Responded -> {
                val status = result.headers.status()
                answeringVersion = RelayAnswer.versionIn(result.headers)
                val error = relay.relay(
                    result.copy(headers = RelayAnswer.removeFrom(result.headers))
                )
                requestLog.logResponseEnd(relay.framing, relay.partialEventBytes, error)
                if (error == null) requestLog.logFinished(status.codeAsText())
                when {
                    error == null -> PeerOutcome.Answered
                    else -> PeerOutcome.Failed(error, isFinal = !status.isSuccess)
                }
            }
        }

    private companion object {
        /** Each one that can't take the request costs a round trip, or a timeout to connect. */
        const val MAX_PEERS = 3
    }
}
