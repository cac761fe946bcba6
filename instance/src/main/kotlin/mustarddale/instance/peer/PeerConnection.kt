/*
 * One connection to a peer, either dialed or accepted. It is closed if no message arrives for
 * several heartbeat intervals, because the remote end may have gone without closing it.
 */
package mustarddale.instance.peer

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull

/**
 * A connection to a peer over [socket].
 *
 * @param self the id of this instance.
 */
public class PeerConnection(
    private val self: String,
    private val socket: Socket,
    private val handler: PeerHandler,
    private val heartbeatMillis: Long
) {
    private val codec = FrameCodec(PeerMessage.serializer())
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)
    private val writeLock = Mutex()
    private val lastRequestId = AtomicLong()
    private val pendingRequests = ConcurrentHashMap<Long, CompletableDeferred<PeerMessage>>()

    /** The id of the peer, null until its first heartbeat. */
    @Volatile
    public var peer: String? = null
        private set

    /** Handles messages until the connection ends, then cancels all pending requests. */
    public suspend fun run(): Unit = coroutineScope {
        val heartbeatJob = launch { sendHeartbeats() }
        try {
            while (true) {
                handle(withTimeout(heartbeatMillis * MAX_MISSED_HEARTBEATS) { codec.read(input) })
            }
        } finally {
            heartbeatJob.cancel()
            socket.close()
            pendingRequests.values.forEach { it.cancel() }
        }
    }

    /** Requests [tokens] of [account]; returns 0 if no answer arrives within [timeoutMillis]. */
    public suspend fun requestTokens(account: String, tokens: Double, timeoutMillis: Long): Double {
        val answer = request(timeoutMillis) { PeerMessage.TokensWanted(it, account, tokens) }
        return (answer as? PeerMessage.TokensGiven)?.tokens ?: 0.0
    }

    /** Requests a cold-start permit for [server]; false without one within [timeoutMillis]. */
    public suspend fun requestPermit(server: String, timeoutMillis: Long): Boolean {
        val answer = request(timeoutMillis) { PeerMessage.PermitWanted(it, server) }
        return (answer as? PeerMessage.PermitAnswered)?.isLent ?: false
    }

    /** Sends [message]; waits while another one is being written. */
    public suspend fun send(message: PeerMessage) {
        writeLock.withLock { codec.write(output, message) }
    }

    private suspend fun request(timeoutMillis: Long, message: (Long) -> PeerMessage): PeerMessage? {
        val requestId = lastRequestId.incrementAndGet()
        val answer = CompletableDeferred<PeerMessage>()
        pendingRequests[requestId] = answer
        try {
            return withTimeoutOrNull(timeoutMillis) {
                send(message(requestId))
                answer.await()
            }
        } finally {
            pendingRequests.remove(requestId)
        }
    }

    private suspend fun sendHeartbeats() {
        while (true) {
            val nextOffset = handler.nextOffset()
            send(PeerMessage.Heartbeat(self, nextOffset, handler.logAgeMillis()))
            delay(heartbeatMillis)
        }
    }

    private suspend fun handle(message: PeerMessage) {
        when (message) {
            is PeerMessage.Heartbeat -> {
                peer = message.instance
                handler.handleHeartbeat(message)
                if (message.nextOffset < handler.nextOffset()) {
                    handler.updatesSince(message.nextOffset).forEach { send(it) }
                }
            }

            is PeerMessage.Records -> handler.handleRecords(message.records)

            is PeerMessage.Snapshot -> handler.handleSnapshotPart(message)

            is PeerMessage.TokensWanted -> {
                val tokens = handler.withdrawTokens(message.account, message.tokens)
                send(PeerMessage.TokensGiven(message.requestId, tokens))
            }

            is PeerMessage.TokensGiven ->
                pendingRequests.remove(message.requestId)?.complete(message)

            is PeerMessage.PermitWanted -> {
                val isLent = handler.lendPermit(message.server)
                send(PeerMessage.PermitAnswered(message.requestId, isLent))
            }

            is PeerMessage.PermitAnswered ->
                pendingRequests.remove(message.requestId)?.complete(message)

            is PeerMessage.PermitReturned -> handler.handlePermitReturned(message.server)
        }
    }

    private companion object {
        const val MAX_MISSED_HEARTBEATS = 5
    }
}
