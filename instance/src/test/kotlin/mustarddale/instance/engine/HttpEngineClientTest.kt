package mustarddale.instance.engine

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import java.net.InetAddress
import java.net.InetSocketAddress
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.runBlocking
import mustarddale.config.BackendServer
import mustarddale.instance.http.BackendConnections
import mustarddale.routing.LoadReport

class HttpEngineClientTest {
    @Test
    fun `a load report is read only from a success`() {
        val cases = mapOf(0 to false, 99 to false, 200 to true, 404 to false, 500 to false) +
            mapOf(600 to false, 1_000 to false)
        cases.forEach { (status, isRead) ->
            assertEquals(isRead, reportWith(status) != null, "status $status")
        }
    }

    private fun reportWith(status: Int): LoadReport? {
        val server = Server.builder()
            .http(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .service("/v1/load") { _, _ ->
                HttpResponse.of(HttpStatus.valueOf(status), MediaType.JSON, REPORT)
            }
            .build()
        server.start().join()
        val url = "h2c://127.0.0.1:${server.activeLocalPort()}"
        return try {
            BackendConnections.factoryBuilder().build().use { factory ->
                val engine = BackendServer("e1", "office", url, "north")
                runBlocking { HttpEngineClient(factory).fetchReport(engine) }
            }
        } finally {
            server.stop().join()
        }
    }

    private companion object {
        const val REPORT = """{"number":{"boot":1,"sequence":1},"state":"WARM","running":0,
            "waiting":0,"batchSlots":1,"ready":[],"held":[],"lastOrder":0}"""
    }
}
