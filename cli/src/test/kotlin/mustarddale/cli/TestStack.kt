package mustarddale.cli

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.test.assertTrue
import mustarddale.config.Access
import mustarddale.config.Adapter
import mustarddale.config.ApiKey
import mustarddale.config.BackendServer
import mustarddale.config.ClientAccount
import mustarddale.config.Configuration
import mustarddale.config.ConfigurationChange
import mustarddale.config.FailureDomain
import mustarddale.config.Limits
import mustarddale.config.Model
import mustarddale.config.Route
import mustarddale.config.Service
import mustarddale.control.ControlRecord.ChangeProposed
import mustarddale.control.ControlState
import mustarddale.control.Envelope
import mustarddale.control.WriterId
import mustarddale.instance.Instance
import mustarddale.instance.settings.OperatorCredential
import mustarddale.instance.settings.Settings
import mustarddale.key.Sha256
import mustarddale.standin.EngineSetup
import mustarddale.standin.EngineStandIn
import mustarddale.standin.InMemoryLog
import mustarddale.standin.InstancesStandIn
import mustarddale.standin.LogStandIn
import mustarddale.standin.ServiceStandIn

/** Stand-ins and instances in this process, each instance with a front of its own to the log. */
class TestStack(
    private val instanceCount: Int = 2,
    engineSetup: (Int) -> EngineSetup = { EngineSetup(MEMORY, preloaded = mapOf("m1" to 40L)) }
) : AutoCloseable {
    val content = InMemoryLog()
    val fronts = List(instanceCount) { LogStandIn(content) }
    val engines = List(2) { EngineStandIn(engineSetup(it)) }
    val service = ServiceStandIn()
    private val list = InstancesStandIn()
    private val standIns = fronts + engines + service + list
    val instances = mutableListOf<Instance>()
    val callerPorts = List(instanceCount) { freePort() }
    val operatorPorts = List(instanceCount) { freePort() }

    fun start(): TestStack {
        standIns.forEach { it.start() }
        val change = ConfigurationChange.Replace(configuration().copy(backendServers = servers()))
        val envelope = Envelope(WriterId("test", "0"), 1, ChangeProposed("test", 0, change))
        fronts.first().append(listOf(ControlState.encode(envelope)))
        repeat(instanceCount) { instances.add(Instance(settings(it))) }
        instances.forEach { it.start() }
        instances.forEach { it.whenReady.get(READY_SECONDS, TimeUnit.SECONDS) }
        return this
    }

    /** Starts one more instance, which reaches the log through [front] only. */
    fun join(front: LogStandIn): Instance {
        front.start()
        val late = settings(0).copy(
            instanceId = "late",
            callerPort = freePort(),
            operatorPort = freePort(),
            logUrl = front.url
        )
        return Instance(late).also {
            instances.add(it)
            it.start()
        }
    }

    fun settings(number: Int): Settings = Settings(
        instanceId = "i$number",
        failureDomain = "north",
        callerPort = callerPorts[number],
        operatorPort = operatorPorts[number],
        peerPort = 0,
        logUrl = fronts[number].url,
        instanceListUrl = list.url,
        operators = OPERATORS,
        silenceMillis = 500,
        lameDuckMillis = 100,
        loadWaitMillis = 5_000
    )

    fun url(instance: Int): String = "http://127.0.0.1:${callerPorts[instance]}"

    internal fun operator(instance: Int): OperatorClient =
        OperatorClient("http://127.0.0.1:${operatorPorts[instance]}", "op:pw")

    fun chat(instance: Int, content: String = "hi", model: String = "m1"): AggregatedHttpResponse =
        send(instance, "/v1/chat/completions", chatBody(content, model)).join()

    fun book(instance: Int, key: String, body: String = "{}"): AggregatedHttpResponse =
        send(instance, "/bookings", body, listOf("idempotency-key" to key)).join()

    fun send(
        instance: Int,
        path: String,
        body: String,
        headers: List<Pair<String, String>> = emptyList(),
        key: String? = KEY
    ): CompletableFuture<AggregatedHttpResponse> {
        val request = RequestHeaders.builder(HttpMethod.POST, path).contentType(MediaType.JSON)
        if (key != null) request.add("authorization", "Bearer $key")
        headers.forEach { (name, value) -> request.add(name, value) }
        val client = WebClient.builder(url(instance)).responseTimeoutMillis(20_000).build()
        return client.execute(HttpRequest.of(request.build(), HttpData.ofUtf8(body))).aggregate()
    }

    fun chatBody(content: String, model: String = "m1", isStreamed: Boolean = false): String =
        """{"model":"$model","stream":$isStreamed,""" +
            """"messages":[{"role":"user","content":"$content"}]}"""

    override fun close() {
        instances.forEach { it.close() }
        standIns.map { it.stop() }.forEach { it.join() }
    }

    private fun servers(): List<BackendServer> = engines.mapIndexed { index, engine ->
        val domain = if (index == 0) "north" else "south"
        BackendServer("e$index", "writer", engine.url, domain, MEMORY, index == 0)
    } + BackendServer("o1", "office", service.url, "north")

    companion object {
        const val KEY = "md-secret-of-yard"
        const val SMALL_KEY = "md-secret-of-small"
        const val MEMORY = 100L
        private const val READY_SECONDS = 30L
        val OPERATORS = listOf(OperatorCredential("op", Sha256.of("pw")))

        /** A configuration without backend servers. */
        fun configuration(): Configuration = Configuration(
            failureDomains = listOf(FailureDomain("north"), FailureDomain("south")),
            clientAccounts = listOf(
                ClientAccount("yard", 100_000, 400_000, listOf(ApiKey("a", Sha256.of(KEY)))),
                ClientAccount("small", 1_000, 2_000, listOf(ApiKey("b", Sha256.of(SMALL_KEY))))
            ),
            services = listOf(
                Service(
                    "writer",
                    models = listOf(
                        Model(
                            "m1",
                            40,
                            maxOutputTokens = 64,
                            adapters = listOf(Adapter("m1-a", 1))
                        ),
                        Model("m2", 40, maxOutputTokens = 64),
                        Model("m3", 40, maxOutputTokens = 64)
                    )
                ),
                Service(
                    "office",
                    routes = listOf(
                        Route("/bookings", tokensPerCall = 1),
                        Route("/lookups", Access.OPEN, repeatable = true)
                    )
                )
            ),
            limits = Limits(rateSlots = 12)
        )

        fun freePort(): Int = ServerSocket(0).use { it.localPort }

        /** Asks until [isTrue], at the most for the 4 s that a change may take. */
        fun within4Seconds(what: String, isTrue: () -> Boolean) = within4Seconds({ what }, isTrue)

        /** The same, with a message that is made on failure. */
        fun within4Seconds(what: () -> String, isTrue: () -> Boolean) {
            val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(4)
            var isDone = isTrue()
            while (!isDone && System.nanoTime() < end) {
                LockSupport.parkNanos(20_000_000)
                isDone = isTrue()
            }
            assertTrue(isDone, if (isDone) null else what())
        }
    }
}

/** Whether the answer says that the request did not run. */
val AggregatedHttpResponse.saysNotRun: Boolean
    get() = contentUtf8().contains("\"executed\":\"no\"")

/** The kind of error of the answer. */
val AggregatedHttpResponse.kind: String
    get() = Regex("\"kind\":\"([a-z_]+)\"").find(contentUtf8())?.groupValues?.get(1).orEmpty()
