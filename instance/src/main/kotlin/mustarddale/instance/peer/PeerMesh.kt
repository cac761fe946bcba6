/*
 * The connections of this instance to its peers. Every instance dials the peers that the platform's
 * list names; both ends may ask over any connection.
 */
package mustarddale.instance.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.slf4j.LoggerFactory

/** The address of a peer. */
public data class PeerAddress(
    public val instance: String,
    public val host: String,
    public val port: Int
)

/** Speaks to the peers of the instance called [self]. */
public class PeerMesh(
    private val self: String,
    private val handler: PeerHandler,
    private val heartbeatMillis: Long
) : AutoCloseable {
    private val thread = Executors.newSingleThreadExecutor { Thread(it, "peers").asDaemon() }
    private val dispatcher = thread.asCoroutineDispatcher()
    private val selector = SelectorManager(dispatcher)
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val dialled = ConcurrentHashMap<String, PeerConnection>()
    private val dialling = ConcurrentHashMap.newKeySet<String>()
    private lateinit var listener: ServerSocket

    /** The peers that this instance has a connection to. */
    public val connectedPeers: Set<String> get() = dialled.keys

    /** Listens on [host] and [port], 0 for any; returns the port. */
    public fun listen(host: String, port: Int): Int {
        listener = runBlocking { aSocket(selector).tcp().bind(InetSocketAddress(host, port)) }
        scope.launch {
            while (true) {
                val socket = listener.accept()
                launch { serve(PeerConnection(self, socket, handler, heartbeatMillis)) }
            }
        }
        return (listener.localAddress as InetSocketAddress).port
    }

    /** Dials those of [peers] that it has no connection to. */
    public fun connect(peers: List<PeerAddress>) {
        peers.filter { it.instance != self && dialling.add(it.instance) }.forEach { address ->
            scope.launch { dial(address) }
        }
    }

    /** Asks all peers for tokens at the same time; returns what they gave together. */
    public suspend fun requestTokens(account: String, tokens: Double, timeoutMillis: Long): Double =
        coroutineScope {
            val links = dialled.values.toList()
            links.map { async { it.tryAsk(0.0) { requestTokens(account, tokens, timeoutMillis) } } }
                .awaitAll()
                .sum()
        }

    /** Asks peers in turn for a permit for one of [servers]. */
    public suspend fun requestPermit(servers: List<String>, timeoutMillis: Long): PermitLoan? {
        for (server in servers) {
            for (link in dialled.values.toList()) {
                val isLent = link.tryAsk(false) { requestPermit(server, timeoutMillis) }
                if (isLent) return PermitLoan(server, link)
            }
        }
        return null
    }

    /** Gives a permit back. */
    public fun returnPermit(loan: PermitLoan) {
        scope.launch {
            loan.lender.tryAsk(Unit) { send(PeerMessage.PermitReturned(loan.server)) }
        }
    }

    override fun close() {
        scope.cancel()
        if (::listener.isInitialized) listener.close()
        selector.close()
        thread.shutdown()
    }

    private suspend fun dial(address: PeerAddress) {
        var socket: Socket? = null
        try {
            socket = aSocket(selector).tcp().connect(InetSocketAddress(address.host, address.port))
            val link = PeerConnection(self, socket, handler, heartbeatMillis)
            dialled[address.instance] = link
            serve(link)
        } catch (e: IOException) {
            log.debug("cannot reach peer {}: {}", address.instance, e.toString())
        } finally {
            socket?.close()
            dialled.remove(address.instance)
            dialling.remove(address.instance)
        }
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun serve(link: PeerConnection) {
        try {
            link.run()
        } catch (e: CancellationException) {
            log.info("connection to peer {} ended: {}", link.peer, e.toString())
        } catch (e: Exception) {
            log.info("connection to peer {} failed: {}", link.peer, e.toString())
        }
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun <T> PeerConnection.tryAsk(
        whenFailed: T,
        ask: suspend PeerConnection.() -> T
    ): T = try {
        ask()
    } catch (e: Exception) {
        log.info("peer {} gave no answer: {}", peer, e.toString())
        whenFailed
    }

    /** A permit for [server] that [lender] lent. */
    public data class PermitLoan(public val server: String, public val lender: PeerConnection)

    private companion object {
        val log = LoggerFactory.getLogger(PeerMesh::class.java)

        fun Thread.asDaemon(): Thread = apply { isDaemon = true }
    }
}
