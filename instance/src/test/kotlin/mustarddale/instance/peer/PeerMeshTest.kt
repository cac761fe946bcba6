package mustarddale.instance.peer

import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import mustarddale.control.LogRecord
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class PeerMeshTest {
    private open class FakeHandler : PeerHandler {
        val heard = CompletableFuture<String>()
        val taken = CompletableFuture<List<LogRecord>>()
        var offset = 0L
        override fun nextOffset(): Long = offset
        override fun logAgeMillis(): Long = 0
        override fun newsSince(fromOffset: Long): List<PeerMessage> =
            listOf(PeerMessage.Records(listOf(LogRecord(fromOffset, 0, "news"))))

        override fun heard(heartbeat: PeerMessage.Heartbeat) {
            heard.complete(heartbeat.instance)
        }

        override fun take(records: List<LogRecord>) {
            taken.complete(records)
        }

        override fun take(part: PeerMessage.Snapshot) = Unit
        override suspend fun give(account: String, tokens: Double): Double = tokens / 2
        override suspend fun lend(server: String): Boolean = server == "free"
        override fun returned(server: String) = Unit
    }

    private val open = mutableListOf<AutoCloseable>()

    @AfterTest
    fun stop() = open.forEach { it.close() }

    private fun mesh(name: String, handler: PeerHandler): PeerMesh =
        PeerMesh(name, handler, HEARTBEAT_MILLIS).also(open::add)

    private fun linked(handler: FakeHandler): PeerMesh {
        val port = mesh("b", handler).listen(HOST, 0)
        val dialling = mesh("a", FakeHandler())
        dialling.connect(listOf(PeerAddress("b", HOST, port)))
        assertEquals("a", handler.heard.get(10, TimeUnit.SECONDS))
        return dialling
    }

    @Test
    fun `peers give tokens and lend permits`() {
        val mesh = linked(FakeHandler())
        runBlocking {
            assertEquals(5.0, mesh.requestTokens("yard", 10.0, TIMEOUT_MILLIS))
            assertEquals(
                "free",
                mesh.requestPermit(listOf("taken", "free"), TIMEOUT_MILLIS)?.server
            )
            assertEquals(null, mesh.requestPermit(listOf("taken"), TIMEOUT_MILLIS))
        }
    }

    @Test
    fun `a peer that never answers gives nothing`() {
        val silent = object : FakeHandler() {
            override suspend fun give(account: String, tokens: Double): Double = awaitCancellation()
        }
        val mesh = linked(silent)
        assertEquals(0.0, runBlocking { mesh.requestTokens("yard", 10.0, 100) })
    }

    @Test
    fun `a peer that is behind is sent the news`() {
        val ahead = FakeHandler().apply { offset = 7 }
        val port = mesh("b", ahead).listen(HOST, 0)
        val behind = FakeHandler().apply { offset = 3 }
        mesh("a", behind).connect(listOf(PeerAddress("b", HOST, port)))
        assertEquals(3L, behind.taken.get(10, TimeUnit.SECONDS).single().offset)
    }

    private val badStarts = listOf(
        "nothing at all" to byteArrayOf(),
        "half a frame" to byteArrayOf(0, 0, 0, 9, 1),
        "no CBOR" to byteArrayOf(0, 0, 0, 3, -1, -1, -1),
        "an endless frame" to byteArrayOf(127, 0, 0, 0),
        "a negative length" to byteArrayOf(-1, 0, 0, 0)
    )

    @TestFactory
    fun `a connection that brings no heartbeats is given up`(): List<DynamicTest> =
        badStarts.map { (name, bytes) ->
            DynamicTest.dynamicTest(name) {
                val port = mesh("b", FakeHandler()).listen(HOST, 0)
                Socket(HOST, port).use { socket ->
                    socket.soTimeout = 10_000
                    socket.getOutputStream().write(bytes)
                    val input = socket.getInputStream()
                    while (input.read() >= 0) Unit
                }
            }
        }

    @Test
    fun `a dialled peer that stays silent is dropped and dialled again`() {
        ServerSocket(0).use { listener ->
            val mesh = mesh("a", FakeHandler())
            val address = PeerAddress("b", HOST, listener.localPort)
            mesh.connect(listOf(address))
            listener.accept().use { first ->
                first.soTimeout = 10_000
                while (first.getInputStream().read() >= 0) Unit
            }
            listener.soTimeout = 10_000
            val again = CompletableFuture.supplyAsync { listener.accept().use { true } }
            while (!again.isDone) mesh.connect(listOf(address))
            assertEquals(true, again.get())
        }
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val HEARTBEAT_MILLIS = 40L
        const val TIMEOUT_MILLIS = 5_000L
    }
}
