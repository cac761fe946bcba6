/*
 * Two instances and all stand-ins in one process, on loopback.
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

/** The embedded default, with callers on [port] and the port behind it. */
internal class DemoStack(private val port: Int) : AutoCloseable {
    private val log = LogStandIn()
    private val list = InstancesStandIn()
    private val weights = WeightsStandIn()
    private val service = ServiceStandIn()
    private val reportEngines = List(TotaraLine.REPORT_ENGINES) { engine(true, it) }
    private val bookingEngines = List(TotaraLine.BOOKING_ENGINES) { engine(false, it) }
    private val standIns =
        listOf(log, list, weights, service) + reportEngines + bookingEngines
    private var instances = emptyList<Instance>()

    /** Where callers reach the instances. */
    val callerUrls: List<String> = List(INSTANCES) { "http://127.0.0.1:${port + it}" }

    /** Where operators reach the first instance. */
    val operatorUrl: String = "http://127.0.0.1:${port + INSTANCES}"

    /** Starts everything; returns when both instances are ready. */
    fun start() {
        standIns.forEach { it.start() }
        submitSample()
        instances = List(INSTANCES) { Instance(settings(it)) }
        instances.forEach { it.start() }
        instances.forEach { it.whenReady.get(READY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) }
    }

    /** Stops the instances as planned, then the stand-ins. */
    override fun close() {
        instances.map { Thread(it::shutDownGracefully).apply { start() } }.forEach { it.join() }
        standIns.map { it.stop() }.forEach { it.join() }
    }

    private fun engine(isReport: Boolean, number: Int): EngineStandIn {
        val preloaded = TotaraLine.preloaded(isReport, number)
        return EngineStandIn(
            EngineSetup(
                memoryBytes = TotaraLine.ENGINE_MEMORY_BYTES,
                checksFencing = number % 2 == 0,
                preloaded = preloaded,
                tokenMillis = TOKEN_MILLIS
            )
        )
    }

    private fun submitSample() {
        val configuration = TotaraLine.configuration(
            reportEngines.map { it.url },
            bookingEngines.map { it.url },
            service.url
        )
        val change = ConfigurationChange.Replace(configuration)
        val record = ChangeProposed("demo", baseRevision = 0, change = change)
        val envelope = Envelope(WriterId("demo", "demo"), sequence = 1, record = record)
        log.append(listOf(ControlState.encode(envelope)))
    }

    private fun settings(number: Int): Settings = Settings(
        instanceId = "demo-${number + 1}",
        failureDomain = "nz-north-a",
        callerPort = port + number,
        operatorPort = port + INSTANCES + number,
        peerPort = 0,
        logUrl = log.url,
        instanceListUrl = list.url,
        operators = listOf(OperatorCredential(OPERATOR, Sha256.of(PASSWORD))),
        lameDuckMillis = LAME_DUCK_MILLIS
    )

    companion object {
        const val OPERATOR = "demo"
        const val PASSWORD = "demo"
        private const val INSTANCES = 2
        private const val TOKEN_MILLIS = 5L
        private const val LAME_DUCK_MILLIS = 200L
        private const val READY_TIMEOUT_MILLIS = 30_000L
    }
}
