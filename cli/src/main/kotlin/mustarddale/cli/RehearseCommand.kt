/*
 * Runs the serving path once before stand-ins on loopback, so that the build can write an archive
 * of the classes that an instance loads at its start.
 */
package mustarddale.cli

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import mustarddale.error.Outcome
import mustarddale.instance.serving.ServingInstance
import mustarddale.platform.PlatformSettings
import mustarddale.platform.UsersPlatform
import mustarddale.standin.StoreStandIn

/** Serves a few requests to itself and ends. */
@OptIn(ExperimentalCli::class)
internal class RehearseCommand :
    Subcommand("rehearse", "Serve a few requests before stand-ins, and end. Example: rehearse") {
    override fun execute() {
        val store = StoreStandIn()
        val backend = Server.builder()
            .http(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .service("prefix:/", HttpService { _, req -> answer(req.headers()) })
            .build()
        backend.start().join()
        store.put("keyed.op", "config", CONFIGURATION)
        store.put("keyed.servers", "i-1", entry(backend.activeLocalPort()))
        val ports = freePorts()
        val settings = PlatformSettings.read(settings(ports, store.port))
        check(settings is Outcome.Success) { "the rehearsal's settings are refused" }
        val instance = ServingInstance(settings.value) { clients, clock ->
            UsersPlatform(settings.value, clients, clock)
        }
        instance.start()
        val client = WebClient.of("http://127.0.0.1:${ports.first()}")
        val served = (1..REQUESTS).count { number ->
            val request = HttpRequest.of(
                RequestHeaders.builder(com.linecorp.armeria.common.HttpMethod.POST, "/a/x")
                    .set("request-id", "r$number").set("model", "m")
                    .set("authorization", "Bearer k").set("host", "h").build()
            )
            client.execute(request).aggregate().join().status() == HttpStatus.OK
        }
        println("{\"event\":\"rehearsed\",\"served\":$served,\"of\":$REQUESTS}")
        kotlin.system.exitProcess(ExitCode.DONE.code)
    }

    private fun answer(request: RequestHeaders): HttpResponse {
        if (request.path() == "/report") {
            return HttpResponse.of("""{"models":[{"name":"m","adapters":[]}],"seq":0}""")
        }
        val headers = ResponseHeaders.builder(HttpStatus.OK)
            .set("request-id", request.get("request-id").orEmpty())
            .set("server-stamp", "s").set("server-load", "1,0,4").build()
        return HttpResponse.of(headers, com.linecorp.armeria.common.HttpData.ofUtf8("id: 1\n\n"))
    }

    private fun freePorts(): List<Int> {
        val sockets = List(PORTS) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
        return sockets.map { it.localPort }.also { sockets.forEach { it.close() } }
    }

    private companion object {
        const val REQUESTS = 40
        const val PORTS = 4
        const val CONFIGURATION = """{"version":1,"routes":[{"name":"r","host":"h",
            "pathPrefix":"/a/","kind":"stream","timeoutMs":9000,"targetLatencyMs":300,
            "service":"s","maxAttempts":2,"resumable":true}],"services":[{"name":"s",
            "engine":{"slots":4,"kvTokens":9000,"weightsMb":90,"adapterSlots":2,"loadsPerS":1,
            "models":[{"name":"m","weightsMb":40,"loadS":1}]}}],
            "tenants":[{"name":"t","apiKeys":["k"],"ratePerS":90000,"burst":90000}]}"""

        fun entry(port: Int) = """{"service":"s","address":"127.0.0.1:$port","zone":"z",
            "slots":4,"state":"ready","models":[{"name":"m","adapters":[]}],"seq":0}"""

        fun settings(ports: List<Int>, storePort: Int) = """{"node":"n","ip":"127.0.0.1",
            "zone":"z","portRange":[${ports[2]},${ports[3]}],
            "listen":{"front":"127.0.0.1:${ports[0]}","ready":"127.0.0.1:${ports[1]}"},
            "platform":{"address":"127.0.0.1:$storePort"}}"""
    }
}
