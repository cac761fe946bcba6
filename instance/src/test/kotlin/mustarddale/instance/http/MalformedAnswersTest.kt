package mustarddale.instance.http

import com.linecorp.armeria.common.HttpMethod
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.runBlocking
import mustarddale.config.BackendServer
import mustarddale.instance.caller.HttpRouteClient
import mustarddale.instance.caller.RouteCall
import mustarddale.instance.caller.RouteResult
import mustarddale.instance.engine.EngineOrder
import mustarddale.instance.engine.HttpEngineClient
import mustarddale.instance.engine.OrderAnswer
import mustarddale.instance.log.AppendResult
import mustarddale.instance.log.HttpLogClient
import mustarddale.instance.log.ReadResult
import mustarddale.instance.platform.HttpInstanceList
import mustarddale.instance.platform.InstanceState
import mustarddale.instance.platform.ListedInstance
import mustarddale.memory.OrderKind

/** Tests all clients of the HTTP interfaces in `docs/PROTOCOLS.md` before malformed heads. */
class MalformedAnswersTest {
    /** A call at a URL whose answer has [body]; [isBelieved] tells whether there was one. */
    private class Call(
        val name: String,
        val body: String,
        val isBelieved: suspend (String) -> Boolean
    )

    private val factory = BackendConnections.factoryBuilder().build()
    private val listed = ListedInstance("i", "a", "127.0.0.1", 1, InstanceState.LIVE)
    private val order = EngineOrder(OrderKind.LOAD, "m", 1, 1)
    private val booking = RouteCall(HttpMethod.POST, "/", emptyList(), ByteArray(0))

    private val calls = listOf(
        Call("append", """{"firstOffset":1}""") {
            HttpLogClient(it).append(listOf("r")) is AppendResult.Appended
        },
        Call("read", """{"records":[],"endOffset":1}""") {
            HttpLogClient(it).read(0, 0) is ReadResult.Read
        },
        Call("register", "{}") { HttpInstanceList(it).register(listed) },
        Call("list", """{"instances":[]}""") { HttpInstanceList(it).read() != null },
        Call("order", """{"boot":1,"sequence":1}""") {
            HttpEngineClient(factory).sendOrder(server(it), order) is OrderAnswer.Accepted
        },
        Call("booking", "booked") {
            HttpRouteClient(factory).send(server(it), booking) is RouteResult.Responded
        }
    )

    private val heads = mapOf(
        "HTTP/1.1 200 OK\r\n" to true,
        "HTTP/1.0 200\r\nOdd|Name:\u00e9\r\n" to true,
        "HTTP/1.1 0200 OK\r\n" to false,
        "HTTP/1.1 200 OK\r\nBad Name: x\r\n" to false,
        "HTTP/1.1 200 OK\r\n folded\r\n" to false,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: frobbed\r\n" to false
    )

    @Test
    fun `a malformed response is no answer to any call`() {
        val wrong = calls.flatMap { call ->
            heads.filter { (head, isSound) -> isBelieved(call, head) != isSound }
                .map { (head, _) -> "${call.name}: $head" }
        }
        factory.close()
        assertEquals(emptyList(), wrong)
    }

    private fun isBelieved(call: Call, head: String): Boolean =
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { listener ->
            thread { listener.accept().use { respond(it, "$head\r\n${call.body}") } }
            runBlocking { call.isBelieved("h1c://127.0.0.1:${listener.localPort}") }
        }

    private fun respond(socket: Socket, response: String) {
        val input = socket.getInputStream().bufferedReader()
        val head = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.toList()
        val length = head.firstOrNull { it.startsWith("content-length:") }
        repeat(length?.substringAfter(':')?.trim()?.toInt() ?: 0) { input.read() }
        val bytes = response.toByteArray(Charsets.ISO_8859_1)
        socket.getOutputStream().apply { write(bytes) }.flush()
    }

    private fun server(url: String) = BackendServer("s", "office", url, "north")
}
