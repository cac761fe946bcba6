/*
 * Measures the latency that an instance adds to a request: the same requests go alternately to a
 * stand-in engine directly and through one instance, all in one process. It also measures the
 * requests per second through that instance.
 */
package mustarddale.bench

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import java.net.ServerSocket
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import mustarddale.config.ApiKey
import mustarddale.config.BackendServer
import mustarddale.config.ClientAccount
import mustarddale.config.Configuration
import mustarddale.config.ConfigurationChange
import mustarddale.config.FailureDomain
import mustarddale.config.Model
import mustarddale.config.Service
import mustarddale.control.ControlRecord.ChangeProposed
import mustarddale.control.ControlState
import mustarddale.control.Envelope
import mustarddale.control.WriterId
import mustarddale.instance.Instance
import mustarddale.instance.settings.Settings
import mustarddale.key.Sha256
import mustarddale.standin.EngineSetup
import mustarddale.standin.EngineStandIn
import mustarddale.standin.InstancesStandIn
import mustarddale.standin.LogStandIn

/** Prints the added latency and the requests per second of one instance as JSON lines. */
public class ForwardingReport {
    private val log = LogStandIn()
    private val instanceList = InstancesStandIn()
    private val engine =
        EngineStandIn(EngineSetup(100, preloaded = mapOf("m" to 10L), batchSize = 256))

    /** Starts the stand-ins and one instance, and measures requests to it. */
    public fun run() {
        listOf(log, instanceList, engine).forEach { it.start() }
        val change = ConfigurationChange.Replace(configuration())
        val envelope = Envelope(WriterId("bench", "0"), 1, ChangeProposed("op", 0, change))
        log.append(listOf(ControlState.encode(envelope)))
        val port = ServerSocket(0).use { it.localPort }
        val instance = Instance(settings(port))
        instance.start()
        instance.whenReady.get(READY_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        val direct = WebClient.of(engine.url)
        val viaInstance = WebClient.of("http://127.0.0.1:$port")
        repeat(WARM_UP_ROUNDS) { listOf(direct, viaInstance).forEach(::call) }
        reportLatency(direct, viaInstance)
        listOf(1, 8, 32).forEach { reportThroughput(viaInstance, it) }
        instance.close()
    }

    private fun reportLatency(direct: WebClient, viaInstance: WebClient) {
        val pairs = List(PAIRS) { callMicros(direct) to callMicros(viaInstance) }
        val directMicros = pairs.map { it.first }.sorted()
        val viaInstanceMicros = pairs.map { it.second }.sorted()
        val addedMicros = pairs.map { it.second - it.first }.sorted()
        println(
            "{\"what\":\"latency of a plain completion\",\"pairs\":$PAIRS," +
                "\"directMedianMicros\":${directMicros[PAIRS / 2]}," +
                "\"throughMedianMicros\":${viaInstanceMicros[PAIRS / 2]}," +
                "\"addedMedianMicros\":${addedMicros[PAIRS / 2]}," +
                "\"addedP95Micros\":${addedMicros[PAIRS * 95 / 100]}}"
        )
    }

    private fun reportThroughput(client: WebClient, concurrency: Int) {
        val permits = Semaphore(concurrency)
        val failures = AtomicInteger()
        val start = System.nanoTime()
        repeat(CALLS) {
            permits.acquire()
            client.execute(request()).aggregate().whenComplete { response, failure ->
                if (failure != null || response.status().code() != OK) failures.incrementAndGet()
                permits.release()
            }
        }
        permits.acquire(concurrency)
        val seconds = (System.nanoTime() - start) / NANOS_PER_SECOND
        println(
            "{\"what\":\"requests through one instance\",\"atOnce\":$concurrency," +
                "\"perSecond\":${(CALLS / seconds).toInt()},\"refused\":${failures.get()}}"
        )
    }

    private fun callMicros(client: WebClient): Long {
        val start = System.nanoTime()
        call(client)
        return (System.nanoTime() - start) / NANOS_PER_MICRO
    }

    private fun call(client: WebClient) {
        val response = client.execute(request()).aggregate().join()
        check(response.status().code() == OK) { response.contentUtf8() }
    }

    private fun request(): HttpRequest {
        val headers = RequestHeaders.builder(HttpMethod.POST, "/v1/chat/completions")
            .contentType(MediaType.JSON)
            .add("authorization", "Bearer key")
            .build()
        return HttpRequest.of(headers, HttpData.ofUtf8(CHAT_BODY))
    }

    private fun configuration() = Configuration(
        failureDomains = listOf(FailureDomain("d")),
        clientAccounts = listOf(
            ClientAccount("a", 100_000_000, 400_000_000, listOf(ApiKey("k", Sha256.of("key"))))
        ),
        services = listOf(Service("s", models = listOf(Model("m", 10)))),
        backendServers = listOf(BackendServer("e", "s", engine.url, "d", 100, maxInFlight = 256))
    )

    private fun settings(port: Int) = Settings(
        instanceId = "bench",
        failureDomain = "d",
        callerPort = port,
        operatorPort = ServerSocket(0).use { it.localPort },
        peerPort = 0,
        logUrl = log.url,
        instanceListUrl = instanceList.url
    )

    private companion object {
        const val WARM_UP_ROUNDS = 1_500
        const val PAIRS = 2_000
        const val CALLS = 6_000
        const val OK = 200
        const val READY_TIMEOUT_SECONDS = 30L
        const val NANOS_PER_MICRO = 1_000L
        const val NANOS_PER_SECOND = 1e9
        const val CHAT_BODY = "{\"model\":\"m\",\"max_tokens\":16," +
            "\"messages\":[{\"role\":\"user\",\"content\":\"Grade sleeper 14.\"}]}"
    }
}
