/*
 * The connections of this instance to its peers. Every instance dials all peers in the platform's
 * instance list; either end of a connection may send requests.
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

/** The id and address of a peer. */
public data class PeerAddress(
    public val instance: String,
    public val host: String,
    public val port: Int
)

/**
 * Maintains connections to peers, and requests tokens and cold-start permits from them.
 *
 * @param self the id of this instance.
 */
public class PeerMesh(
    private val self: String,
    private val handler: PeerHandler,
    private val heartbeatMillis: Long
) : AutoCloseable {
    private val executor = Executors.newSingleThreadExecutor { Thread(it, "peers").asDaemon() }
    private val dispatcher = executor.asCoroutineDispatcher()
    private val selector = SelectorManager(dispatcher)
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val outgoingConnections = ConcurrentHashMap<String, PeerConnection>()
    private val dialedPeers = ConcurrentHashMap.newKeySet<String>()
    private lateinit var listener: ServerSocket

    /** The ids of the peers to which this instance has dialed a connection. */
    public val connectedPeers: Set<String> get() = outgoingConnections.keys

    /** Listens on [host] and [port], or any free port if it is 0; returns the port in use. */
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

    /** Dials each of [peers] that is not connected or being dialed already. */
    public fun connect(peers: List<PeerAddress>) {
        peers.filter { it.instance != self && dialedPeers.add(it.instance) }.forEach { address ->
            scope.launch { dial(address) }
        }
    }

    /** Requests [tokens] of [account] from all peers in parallel; returns the sum received. */
    public suspend fun requestTokens(account: String, tokens: Double, timeoutMillis: Long): Double =
        coroutineScope {
            val connections = outgoingConnections.values.toList()
            connections.map {
                async { it.requestOr(0.0) { requestTokens(account, tokens, timeoutMillis) } }
            }
                .awaitAll()
                .sum()
        }

    /** Asks each peer in turn for a cold-start permit for any of [servers]; null without one. */
    public suspend fun requestPermit(servers: List<String>, timeoutMillis: Long): PermitLoan? {
        for (server in servers) {
            for (connection in outgoingConnections.values.toList()) {
                val isLent = connection.requestOr(false) { requestPermit(server, timeoutMillis) }
                if (isLent) return PermitLoan(server, connection)
            }
        }
        return null
    }

    /** Returns a permit to the peer that lent it. */
    public fun returnPermit(loan: PermitLoan) {
        scope.launch {
            loan.lender.requestOr(Unit) { send(PeerMessage.PermitReturned(loan.server)) }
        }
    }

    override fun close() {
        scope.cancel()
        if (::listener.isInitialized) listener.close()
        selector.close()
        executor.shutdown()
    }

    private suspend fun dial(address: PeerAddress) {
        var socket: Socket? = null
        try {
            socket = aSocket(selector).tcp().connect(InetSocketAddress(address.host, address.port))
            val connection = PeerConnection(self, socket, handler, heartbeatMillis)
            outgoingConnections[address.instance] = connection
            serve(connection)
        } catch (e: IOException) {
            log.debug("cannot connect to peer {}: {}", address.instance, e.toString())
        } finally {
            socket?.close()
            outgoingConnections.remove(address.instance)
            dialedPeers.remove(address.instance)
        }
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun serve(connection: PeerConnection) {
        try {
            connection.run()
        } catch (e: CancellationException) {
            log.info("connection to peer {} ended: {}", connection.peer, e.toString())
        } catch (e: Exception) {
            log.info("connection to peer {} failed: {}", connection.peer, e.toString())
        }
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun <T> PeerConnection.requestOr(
        defaultValue: T,
        request: suspend PeerConnection.() -> T
    ): T = try {
        request()
    } catch (e: Exception) {
        log.info("request to peer {} failed: {}", peer, e.toString())
        defaultValue
    }

    /** A cold-start permit for [server] on loan from the peer [lender]. */
    public data class PermitLoan(public val server: String, public val lender: PeerConnection)

    private companion object {
        val log = LoggerFactory.getLogger(PeerMesh::class.java)

        fun Thread.asDaemon(): Thread = apply { isDaemon = true }
    }
}
