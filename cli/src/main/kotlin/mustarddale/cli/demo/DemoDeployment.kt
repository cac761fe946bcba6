/*
 * Two instances and stand-ins for all external systems in one process, on the loopback address.
 */
package mustarddale.cli.demo

import java.util.concurrent.TimeUnit
import mustarddale.config.ConfigurationChange
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
import mustarddale.standin.InstancesStandIn
import mustarddale.standin.LogStandIn
import mustarddale.standin.ServiceStandIn
import mustarddale.standin.WeightsStandIn

/** Deployment on four ports from [port]: two for callers, then two for operators. */
internal class DemoDeployment(private val port: Int) : AutoCloseable {
    private val log = LogStandIn()
    private val instanceList = InstancesStandIn()
    private val weights = WeightsStandIn()
    private val service = ServiceStandIn()
    private val reportEngines =
        List(SampleConfiguration.REPORT_ENGINE_COUNT) { createEngine(true, it) }
    private val bookingEngines =
        List(SampleConfiguration.BOOKING_ENGINE_COUNT) { createEngine(false, it) }
    private val standIns =
        listOf(log, instanceList, weights, service) + reportEngines + bookingEngines
    private var instances = emptyList<Instance>()

    /** URLs of the instances for callers. */
    val callerUrls: List<String> = List(INSTANCE_COUNT) { "http://127.0.0.1:${port + it}" }

    /** URL of the operator API of the first instance. */
    val operatorUrl: String = "http://127.0.0.1:${port + INSTANCE_COUNT}"

    /** Starts all servers and returns when both instances are ready. */
    fun start() {
        standIns.forEach { it.start() }
        submitConfiguration()
        instances = List(INSTANCE_COUNT) { Instance(createSettings(it)) }
        instances.forEach { it.start() }
        instances.forEach { it.whenReady.get(READY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) }
    }

    /** Shuts the instances down gracefully, then stops the stand-ins. */
    override fun close() {
        instances.map { Thread(it::shutDownGracefully).apply { start() } }.forEach { it.join() }
        standIns.map { it.stop() }.forEach { it.join() }
    }

    private fun createEngine(isReportEngine: Boolean, number: Int): EngineStandIn {
        val preloaded = SampleConfiguration.preloadedModels(isReportEngine, number)
        return EngineStandIn(
            EngineSetup(
                memoryBytes = SampleConfiguration.ENGINE_MEMORY_BYTES,
                checksFencing = number % 2 == 0,
                preloaded = preloaded,
                tokenMillis = TOKEN_MILLIS
            )
        )
    }

    private fun submitConfiguration() {
        val configuration = SampleConfiguration.create(
            reportEngines.map { it.url },
            bookingEngines.map { it.url },
            service.url
        )
        val change = ConfigurationChange.Replace(configuration)
        val record = ChangeProposed("demo", baseRevision = 0, change = change)
        val envelope = Envelope(WriterId("demo", "demo"), sequence = 1, record = record)
        log.append(listOf(ControlState.encode(envelope)))
    }

    private fun createSettings(number: Int): Settings = Settings(
        instanceId = "demo-${number + 1}",
        failureDomain = "nz-north-a",
        callerPort = port + number,
        operatorPort = port + INSTANCE_COUNT + number,
        peerPort = 0,
        logUrl = log.url,
        instanceListUrl = instanceList.url,
        operators = listOf(OperatorCredential(OPERATOR_NAME, Sha256.of(OPERATOR_PASSWORD))),
        lameDuckMillis = LAME_DUCK_MILLIS
    )

    companion object {
        const val OPERATOR_NAME = "demo"
        const val OPERATOR_PASSWORD = "demo"
        private const val INSTANCE_COUNT = 2
        private const val TOKEN_MILLIS = 5L
        private const val LAME_DUCK_MILLIS = 200L
        private const val READY_TIMEOUT_MILLIS = 30_000L
    }
}
