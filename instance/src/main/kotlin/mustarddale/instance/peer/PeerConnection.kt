/*
 * One connection to a peer, dialled or accepted. It is given up when nothing came over it for some
 * heartbeats: the other end may be gone without a word.
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

/** A connection over [socket] on behalf of the instance called [self]. */
public class PeerConnection(
    private val self: String,
    private val socket: Socket,
    private val handler: PeerHandler,
    private val heartbeatMillis: Long
) {
    private val codec = FrameCodec(PeerMessage.serializer())
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)
    private val writing = Mutex()
    private val requestIds = AtomicLong()
    private val openRequests = ConcurrentHashMap<Long, CompletableDeferred<PeerMessage>>()

    /** The name of the other end, known after its first heartbeat. */
    @Volatile
    public var peer: String? = null
        private set

    /** Runs until the connection ends. */
    public suspend fun run(): Unit = coroutineScope {
        val beats = launch { beat() }
        try {
            while (true) {
                handle(withTimeout(heartbeatMillis * MISSED_HEARTBEATS) { codec.read(input) })
            }
        } finally {
            beats.cancel()
            socket.close()
            openRequests.values.forEach { it.cancel() }
        }
    }

    /** Asks for tokens; 0 if no answer comes in time. */
    public suspend fun requestTokens(account: String, tokens: Double, timeoutMillis: Long): Double {
        val answer = ask(timeoutMillis) { PeerMessage.TokensWanted(it, account, tokens) }
        return (answer as? PeerMessage.TokensGiven)?.tokens ?: 0.0
    }

    /** Asks for a cold-start permit; false if no answer comes in time. */
    public suspend fun requestPermit(server: String, timeoutMillis: Long): Boolean {
        val answer = ask(timeoutMillis) { PeerMessage.PermitWanted(it, server) }
        return (answer as? PeerMessage.PermitAnswered)?.isLent ?: false
    }

    /** Sends [message]. */
    public suspend fun send(message: PeerMessage) {
        writing.withLock { codec.write(output, message) }
    }

    private suspend fun ask(timeoutMillis: Long, message: (Long) -> PeerMessage): PeerMessage? {
        val requestId = requestIds.incrementAndGet()
        val answer = CompletableDeferred<PeerMessage>()
        openRequests[requestId] = answer
        try {
            return withTimeoutOrNull(timeoutMillis) {
                send(message(requestId))
                answer.await()
            }
        } finally {
            openRequests.remove(requestId)
        }
    }

    private suspend fun beat() {
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
                handler.heard(message)
                if (message.nextOffset < handler.nextOffset()) {
                    handler.newsSince(message.nextOffset).forEach { send(it) }
                }
            }

            is PeerMessage.Records -> handler.take(message.records)

            is PeerMessage.Snapshot -> handler.take(message)

            is PeerMessage.TokensWanted -> {
                val tokens = handler.give(message.account, message.tokens)
                send(PeerMessage.TokensGiven(message.requestId, tokens))
            }

            is PeerMessage.TokensGiven -> openRequests.remove(message.requestId)?.complete(message)

            is PeerMessage.PermitWanted -> {
                val isLent = handler.lend(message.server)
                send(PeerMessage.PermitAnswered(message.requestId, isLent))
            }

            is PeerMessage.PermitAnswered ->
                openRequests.remove(message.requestId)?.complete(message)

            is PeerMessage.PermitReturned -> handler.returned(message.server)
        }
    }

    private companion object {
        const val MISSED_HEARTBEATS = 5
    }
}
