package mustarddale.instance.log

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import java.net.InetAddress
import java.net.InetSocketAddress
import kotlin.test.Test
import kotlin.test.assertIs

class HttpLogClientTest {
    @Test
    fun `a truncated response of the log is an unknown outcome and ends no thread`() {
        listOf("", "{", """{"firstOffset":1""", """{"records":[],"endO""").forEach { body ->
            val server = Server.builder()
                .http(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .service("prefix:/", HttpService { _, _ -> HttpResponse.of(body) })
                .build()
            server.start().join()
            val client = HttpLogClient("http://127.0.0.1:${server.activeLocalPort()}")
            assertIs<AppendResult.Unknown>(client.append(listOf("r")), body)
            assertIs<ReadResult.Failed>(client.read(0, 0), body)
            server.stop().join()
        }
    }
}
