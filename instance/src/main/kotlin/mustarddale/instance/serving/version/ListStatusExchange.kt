/*
 * Questions between instances about their lists of servers, asked over the port for other instances
 * when neither the log nor the leader responds. The answer is CBOR.
 */
package mustarddale.instance.serving.version

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.Endpoint
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.SessionProtocol
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.future.await
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.forward.RequestTarget
import mustarddale.serving.path.RelayPeer
import mustarddale.serving.version.ListStatus
import mustarddale.serving.version.PeerPoll

/** Asks other instances over the connections of [factory]. */
@OptIn(ExperimentalSerializationApi::class)
public class ListStatusExchange(private val factory: ClientFactory) {
    /** Asks all [peers] at the same time for an instance in [localDomain]. */
    public suspend fun poll(localDomain: String, peers: List<RelayPeer>): PeerPoll =
        coroutineScope {
            val statuses = peers.map { peer -> async { peer.run to statusOf(peer) } }.awaitAll()
            val answers = statuses.mapNotNull { (run, status) -> status?.let { run to it } }
            PeerPoll(localDomain, peers, answers.toMap())
        }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun statusOf(peer: RelayPeer): ListStatus? = try {
        val client = WebClient.builder(SessionProtocol.H1C, Endpoint.of(peer.host, peer.port))
            .factory(factory)
            .responseTimeoutMillis(TIMEOUT_MILLIS)
            .maxResponseLength(MAX_STATUS_BYTES)
            .build()
        val response = client.get(PATH).aggregate().await()
        // An instance of an earlier release serves another page here.
        if (response.contentType() == mediaType) {
            cbor.decodeFromByteArray(ListStatus.serializer(), response.content().array())
        } else {
            null
        }
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        DecisionLog.record(
            "peer_silent",
            "other" to peer.instance,
            "error" to e.toString()
        )
        null
    }

    public companion object {
        private const val PATH = "/list-status"

        /** Longer than a read of the log, which the other instance tries before it answers. */
        private const val TIMEOUT_MILLIS = 250L
        private const val MAX_STATUS_BYTES = 1_024L * 1_024
        private val mediaType = MediaType.create("application", "cbor")
        private val cbor = Cbor { ignoreUnknownKeys = true }

        /** Whether [request] is a question of another instance. */
        public fun handles(request: HttpRequest): Boolean =
            RequestTarget.of(request.headers()) == PATH

        /** Returns the answer that contains [status]. */
        public fun answer(status: ListStatus): HttpResponse = HttpResponse.of(
            HttpStatus.OK,
            mediaType,
            cbor.encodeToByteArray(ListStatus.serializer(), status)
        )
    }
}
