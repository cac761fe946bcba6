package mustarddale.cli

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
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
import mustarddale.platform.standin.FreePorts
import mustarddale.standin.EngineSetup
import mustarddale.standin.EngineStandIn
import mustarddale.standin.InMemoryLog
import mustarddale.standin.InstancesStandIn
import mustarddale.standin.LogStandIn
import mustarddale.standin.ServiceStandIn

/** Instances and stand-ins in this process; each instance has a log stand-in of its own. */
class TestStack(
    private val instanceCount: Int = 2,
    engineSetup: (Int) -> EngineSetup =
        { EngineSetup(MEMORY_BYTES, preloaded = mapOf("m1" to 40L)) }
) : AutoCloseable {
    val sharedLog = InMemoryLog()
    val logStandIns = List(instanceCount) { LogStandIn(sharedLog) }
    val engines = List(2) { EngineStandIn(engineSetup(it)) }
    val service = ServiceStandIn()
    private val instanceList = InstancesStandIn()
    private val standIns = logStandIns + engines + service + instanceList
    val instances = mutableListOf<Instance>()
    val callerPorts = List(instanceCount) { freePort() }
    val operatorPorts = List(instanceCount) { freePort() }

    fun start(): TestStack {
        standIns.forEach { it.start() }
        val change =
            ConfigurationChange.Replace(configuration().copy(backendServers = backendServers()))
        val envelope = Envelope(WriterId("test", "0"), 1, ChangeProposed("test", 0, change))
        logStandIns.first().append(listOf(ControlState.encode(envelope)))
        repeat(instanceCount) { instances.add(Instance(settings(it))) }
        instances.forEach { it.start() }
        instances.forEach { it.whenReady.get(READY_TIMEOUT_SECONDS, TimeUnit.SECONDS) }
        return this
    }

    /** Starts one more instance, with [logStandIn] as its log, without awaiting its readiness. */
    fun startExtraInstance(logStandIn: LogStandIn): Instance {
        logStandIn.start()
        val extraSettings = settings(0).copy(
            instanceId = "late",
            callerPort = freePort(),
            operatorPort = freePort(),
            logUrl = logStandIn.url
        )
        return Instance(extraSettings).also {
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
        logUrl = logStandIns[number].url,
        instanceListUrl = instanceList.url,
        operators = OPERATOR_CREDENTIALS,
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

    private fun backendServers(): List<BackendServer> = engines.mapIndexed { index, engine ->
        val domain = if (index == 0) "north" else "south"
        BackendServer("e$index", "writer", engine.url, domain, MEMORY_BYTES, index == 0)
    } + BackendServer("o1", "office", service.url, "north")

    companion object {
        const val KEY = "md-secret-of-yard"
        const val LIMITED_KEY = "md-secret-of-small"
        const val MEMORY_BYTES = 100L
        private const val READY_TIMEOUT_SECONDS = 30L
        val OPERATOR_CREDENTIALS = listOf(OperatorCredential("op", Sha256.of("pw")))

        /** A configuration without backend servers. */
        fun configuration(): Configuration = Configuration(
            failureDomains = listOf(FailureDomain("north"), FailureDomain("south")),
            clientAccounts = listOf(
                ClientAccount("yard", 100_000, 400_000, listOf(ApiKey("a", Sha256.of(KEY)))),
                ClientAccount("small", 1_000, 2_000, listOf(ApiKey("b", Sha256.of(LIMITED_KEY))))
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

        fun freePort(): Int = FreePorts.next()

        /** Polls [condition] until it holds, at most for the 4 s that a change may take. */
        fun awaitCondition(description: String, condition: () -> Boolean) =
            awaitCondition({ description }, condition)

        /** Polls like the other overload; calls [description] only on failure. */
        fun awaitCondition(description: () -> String, condition: () -> Boolean) {
            val deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(4)
            var holds = condition()
            while (!holds && System.nanoTime() < deadlineNanos) {
                LockSupport.parkNanos(20_000_000)
                holds = condition()
            }
            assertTrue(holds, if (holds) null else description())
        }
    }
}

/** Whether the response guarantees that the request was not executed. */
val AggregatedHttpResponse.saysNotExecuted: Boolean
    get() = contentUtf8().contains("\"executed\":\"no\"")

/** The kind of error in the response, or an empty string. */
val AggregatedHttpResponse.kind: String
    get() = Regex("\"kind\":\"([a-z_]+)\"").find(contentUtf8())?.groupValues?.get(1).orEmpty()
