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
        val heartbeatFrom = CompletableFuture<String>()
        val receivedRecords = CompletableFuture<List<LogRecord>>()
        var nextOffset = 0L
        override fun nextOffset(): Long = nextOffset
        override fun logAgeMillis(): Long = 0
        override fun updatesSince(fromOffset: Long): List<PeerMessage> =
            listOf(PeerMessage.Records(listOf(LogRecord(fromOffset, 0, "news"))))

        override fun handleHeartbeat(heartbeat: PeerMessage.Heartbeat) {
            heartbeatFrom.complete(heartbeat.instance)
        }

        override fun handleRecords(records: List<LogRecord>) {
            receivedRecords.complete(records)
        }

        override fun handleSnapshotPart(part: PeerMessage.Snapshot) = Unit
        override suspend fun withdrawTokens(account: String, tokens: Double): Double = tokens / 2
        override suspend fun lendPermit(server: String): Boolean = server == "free"
        override fun handlePermitReturned(server: String) = Unit
    }

    private val closeables = mutableListOf<AutoCloseable>()

    @AfterTest
    fun closeAll() = closeables.forEach { it.close() }

    private fun mesh(name: String, handler: PeerHandler): PeerMesh =
        PeerMesh(name, handler, HEARTBEAT_MILLIS).also(closeables::add)

    private fun connectedTo(handler: FakeHandler): PeerMesh {
        val port = mesh("b", handler).listen(HOST, 0)
        val dialer = mesh("a", FakeHandler())
        dialer.connect(listOf(PeerAddress("b", HOST, port)))
        assertEquals("a", handler.heartbeatFrom.get(10, TimeUnit.SECONDS))
        return dialer
    }

    @Test
    fun `peers grant tokens and lend permits`() {
        val mesh = connectedTo(FakeHandler())
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
    fun `a peer that never answers grants no tokens`() {
        val neverAnswers = object : FakeHandler() {
            override suspend fun withdrawTokens(account: String, tokens: Double): Double =
                awaitCancellation()
        }
        val mesh = connectedTo(neverAnswers)
        assertEquals(0.0, runBlocking { mesh.requestTokens("yard", 10.0, 100) })
    }

    @Test
    fun `a peer that is behind receives the missing records`() {
        val ahead = FakeHandler().apply { nextOffset = 7 }
        val port = mesh("b", ahead).listen(HOST, 0)
        val behind = FakeHandler().apply { nextOffset = 3 }
        mesh("a", behind).connect(listOf(PeerAddress("b", HOST, port)))
        assertEquals(3L, behind.receivedRecords.get(10, TimeUnit.SECONDS).single().offset)
    }

    private val invalidOpenings = listOf(
        "no data" to byteArrayOf(),
        "an incomplete frame" to byteArrayOf(0, 0, 0, 9, 1),
        "invalid CBOR" to byteArrayOf(0, 0, 0, 3, -1, -1, -1),
        "a frame above the size limit" to byteArrayOf(127, 0, 0, 0),
        "a negative length" to byteArrayOf(-1, 0, 0, 0)
    )

    @TestFactory
    fun `a connection without valid heartbeats is closed`(): List<DynamicTest> =
        invalidOpenings.map { (name, bytes) ->
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
    fun `a dialed peer that sends nothing is disconnected and dialed again`() {
        ServerSocket(0).use { listener ->
            val mesh = mesh("a", FakeHandler())
            val address = PeerAddress("b", HOST, listener.localPort)
            mesh.connect(listOf(address))
            listener.accept().use { first ->
                first.soTimeout = 10_000
                while (first.getInputStream().read() >= 0) Unit
            }
            listener.soTimeout = 10_000
            val dialedAgain = CompletableFuture.supplyAsync { listener.accept().use { true } }
            while (!dialedAgain.isDone) mesh.connect(listOf(address))
            assertEquals(true, dialedAgain.get())
        }
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val HEARTBEAT_MILLIS = 40L
        const val TIMEOUT_MILLIS = 5_000L
    }
}
