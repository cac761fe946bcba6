package mustarddale.instance.caller

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.Server
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.runBlocking
import mustarddale.config.BackendServer
import mustarddale.instance.http.BackendConnections

class HttpRouteClientTest {
    private data class Case(
        val name: String,
        val framing: String,
        val body: String,
        val isReset: Boolean,
        val isComplete: Boolean
    )

    @Test
    fun `a truncated response is never recorded as the answer of a booking`() {
        val length = "Content-Length: 6\r\n"
        val chunks = "Transfer-Encoding: chunked\r\n"
        listOf(
            Case("length, closed early", length, "par", isReset = false, isComplete = false),
            Case("length", length, "booked", isReset = false, isComplete = true),
            Case("chunks, closed early", chunks, "3\r\npar\r\n", false, isComplete = false),
            Case("no length, reset", "", "par", isReset = true, isComplete = false),
            Case("no length, closed", "", "booked", isReset = false, isComplete = true)
        ).forEach { case ->
            val result = answer(case)
            assertEquals(case.isComplete, result is RouteResult.Responded, "${case.name}: $result")
        }
    }

    @Test
    fun `a status of no class is never an answer, on HTTP 2 connections neither`() {
        listOf(0 to false, 99 to false, 200 to true, 599 to true, 600 to false, 1_000 to false)
            .forEach { (status, isAnswer) ->
                val server = Server.builder()
                    .http(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .service("prefix:/") { _, _ -> HttpResponse.of(HttpStatus.valueOf(status)) }
                    .build()
                server.start().join()
                val result = send("h2c://127.0.0.1:${server.activeLocalPort()}")
                server.stop().join()
                assertEquals(isAnswer, result is RouteResult.Responded, "$status: $result")
            }
    }

    private fun answer(case: Case): RouteResult =
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { listener ->
            thread { listener.accept().use { respond(it, case) } }
            send("h1c://127.0.0.1:${listener.localPort}")
        }

    private fun send(url: String): RouteResult =
        BackendConnections.factoryBuilder().build().use { factory ->
            val server = BackendServer("o1", "office", url, "north")
            val call = RouteCall(HttpMethod.POST, "/bookings", emptyList(), ByteArray(0))
            runBlocking { HttpRouteClient(factory).send(server, call) }
        }

    private fun respond(socket: Socket, case: Case) {
        val input = socket.getInputStream().bufferedReader()
        while (input.readLine().isNotEmpty()) Unit
        val response = "HTTP/1.1 201 Created\r\n${case.framing}\r\n${case.body}"
        socket.getOutputStream().apply { write(response.toByteArray()) }.flush()
        if (case.isReset) socket.setSoLinger(true, 0)
    }
}
