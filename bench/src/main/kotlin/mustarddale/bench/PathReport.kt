/*
 * What the way through an instance adds to a call of an engine: the same calls, in turn, straight
 * to the stand-in engine and through one instance, in one run of one process.
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

/** Prints added latency and requests per second as JSON lines. */
public class PathReport {
    private val log = LogStandIn()
    private val list = InstancesStandIn()
    private val engine =
        EngineStandIn(EngineSetup(100, preloaded = mapOf("m" to 10L), batchSize = 256))

    /** Measures. */
    public fun run() {
        listOf(log, list, engine).forEach { it.start() }
        val change = ConfigurationChange.Replace(configuration())
        val envelope = Envelope(WriterId("bench", "0"), 1, ChangeProposed("op", 0, change))
        log.append(listOf(ControlState.encode(envelope)))
        val port = ServerSocket(0).use { it.localPort }
        val instance = Instance(settings(port))
        instance.start()
        instance.whenReady.get(READY_SECONDS, TimeUnit.SECONDS)
        val direct = WebClient.of(engine.url)
        val through = WebClient.of("http://127.0.0.1:$port")
        repeat(WARM_UP) { listOf(direct, through).forEach(::call) }
        latency(direct, through)
        listOf(1, 8, 32).forEach { throughput(through, it) }
        instance.close()
    }

    private fun latency(direct: WebClient, through: WebClient) {
        val pairs = List(PAIRS) { timed(direct) to timed(through) }
        val directMicros = pairs.map { it.first }.sorted()
        val throughMicros = pairs.map { it.second }.sorted()
        val added = pairs.map { it.second - it.first }.sorted()
        println(
            "{\"what\":\"latency of a plain completion\",\"pairs\":$PAIRS," +
                "\"directMedianMicros\":${directMicros[PAIRS / 2]}," +
                "\"throughMedianMicros\":${throughMicros[PAIRS / 2]}," +
                "\"addedMedianMicros\":${added[PAIRS / 2]}," +
                "\"addedP95Micros\":${added[PAIRS * 95 / 100]}}"
        )
    }

    private fun throughput(client: WebClient, atOnce: Int) {
        val slots = Semaphore(atOnce)
        val refused = AtomicInteger()
        val start = System.nanoTime()
        repeat(CALLS) {
            slots.acquire()
            client.execute(request()).aggregate().whenComplete { answer, failure ->
                if (failure != null || answer.status().code() != OK) refused.incrementAndGet()
                slots.release()
            }
        }
        slots.acquire(atOnce)
        val seconds = (System.nanoTime() - start) / NANOS_PER_SECOND
        println(
            "{\"what\":\"requests through one instance\",\"atOnce\":$atOnce," +
                "\"perSecond\":${(CALLS / seconds).toInt()},\"refused\":${refused.get()}}"
        )
    }

    private fun timed(client: WebClient): Long {
        val start = System.nanoTime()
        call(client)
        return (System.nanoTime() - start) / NANOS_PER_MICRO
    }

    private fun call(client: WebClient) {
        val answer = client.execute(request()).aggregate().join()
        check(answer.status().code() == OK) { answer.contentUtf8() }
    }

    private fun request(): HttpRequest {
        val headers = RequestHeaders.builder(HttpMethod.POST, "/v1/chat/completions")
            .contentType(MediaType.JSON)
            .add("authorization", "Bearer key")
            .build()
        return HttpRequest.of(headers, HttpData.ofUtf8(BODY))
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
        instanceListUrl = list.url
    )

    private companion object {
        const val WARM_UP = 1_500
        const val PAIRS = 2_000
        const val CALLS = 6_000
        const val OK = 200
        const val READY_SECONDS = 30L
        const val NANOS_PER_MICRO = 1_000L
        const val NANOS_PER_SECOND = 1e9
        const val BODY = "{\"model\":\"m\",\"max_tokens\":16," +
            "\"messages\":[{\"role\":\"user\",\"content\":\"Grade sleeper 14.\"}]}"
    }
}
