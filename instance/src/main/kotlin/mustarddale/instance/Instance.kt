/*
 * One entry instance: wires the duties together, starts them in order, and stops them so that no
 * request is cut.
 */
package mustarddale.instance

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServiceRequestContext
import java.net.InetSocketAddress
import java.time.Duration
import java.util.UUID
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import java.util.random.RandomGenerator
import mustarddale.control.WriterId
import mustarddale.freshness.StateFreshness
import mustarddale.instance.caller.Admitter
import mustarddale.instance.caller.AnswerRelay
import mustarddale.instance.caller.BookingGate
import mustarddale.instance.caller.CallerApi
import mustarddale.instance.caller.CallerErrors
import mustarddale.instance.caller.ChatService
import mustarddale.instance.caller.HttpPlainClient
import mustarddale.instance.caller.RouteService
import mustarddale.instance.decision.DispatchLoop
import mustarddale.instance.decision.DispatchLoop.Update
import mustarddale.instance.decision.LoadReportPoller
import mustarddale.instance.decision.PlacementDuty
import mustarddale.instance.decision.SlotLeaseManager
import mustarddale.instance.duty.PeriodicDuty
import mustarddale.instance.engine.HttpEngineClient
import mustarddale.instance.log.CheckpointDuty
import mustarddale.instance.log.ControlStore
import mustarddale.instance.log.HttpLogClient
import mustarddale.instance.log.LogTail
import mustarddale.instance.log.RecordWriter
import mustarddale.instance.metrics.InstanceMetrics
import mustarddale.instance.operator.InstanceStatus
import mustarddale.instance.operator.OperatorApi
import mustarddale.instance.operator.ServerStatus
import mustarddale.instance.peer.ControlStatePeerHandler
import mustarddale.instance.peer.PeerAddress
import mustarddale.instance.peer.PeerMesh
import mustarddale.instance.platform.HttpInstanceList
import mustarddale.instance.platform.InstanceState
import mustarddale.instance.platform.ListedInstance
import mustarddale.instance.settings.Settings
import mustarddale.time.Clock
import mustarddale.time.SystemClock
import org.slf4j.LoggerFactory

/** Where an instance is in its life. */
private enum class Phase { STARTING, READY, LEAVING }

/** An entry instance with [settings]. */
public class Instance(private val settings: Settings, private val clock: Clock = SystemClock) :
    AutoCloseable {
    private val phase = AtomicReference(Phase.STARTING)
    private val writer = WriterId(settings.instanceId, UUID.randomUUID().toString())
    private val factory = ClientFactory.builder()
        .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
        .pingIntervalMillis(PING_INTERVAL_MILLIS)
        .build()
    private val logClient = HttpLogClient(settings.logUrl)
    private val instanceList = HttpInstanceList(settings.instanceListUrl)
    private val engines = HttpEngineClient(factory)
    private val store = ControlStore()
    private val decisions = DispatchLoop(clock, RandomGenerator.getDefault())
    private val records = RecordWriter(writer, logClient, clock, store)
    private val tail = LogTail(logClient, store, clock)
    private val peerHandler =
        ControlStatePeerHandler(store, decisions, clock) { tail.lastReadSentMillis }
    private val mesh =
        PeerMesh(settings.instanceId, peerHandler, settings.peerHeartbeatMillis)

    @Volatile
    private var listed: List<ListedInstance> = emptyList()
    private val placement = PlacementDuty(
        store,
        records,
        engines,
        clock,
        settings.appendTimeoutMillis,
        ::liveInstances
    )
    private lateinit var reports: LoadReportPoller
    private lateinit var slots: SlotLeaseManager
    private lateinit var server: Server
    private lateinit var operatorServer: Server
    private val metrics = InstanceMetrics(::status)
    private val duties = mutableListOf<AutoCloseable>()

    /** Ends when this instance has become ready for the first time. */
    public val whenReady: CompletableFuture<Void> = CompletableFuture()

    /** The revision that this instance knows. */
    public val knownRevision: Long get() = store.state.revision

    /** Whether requests are served. */
    public val isReady: Boolean
        get() = phase.get() == Phase.READY && freshness().isFresh

    /** Starts everything; the instance becomes ready once it knows the configuration. */
    public fun start() {
        store.addStateListener { decisions.post(Update.ControlStateChanged(it)) }
        val peerPort = mesh.listen(settings.host, settings.peerPort)
        reports = LoadReportPoller(
            store,
            records,
            engines,
            decisions,
            settings.reportIntervalMillis,
            settings.appendTimeoutMillis,
            ::liveInstances
        )
        slots = SlotLeaseManager(
            store,
            records,
            decisions,
            clock,
            settings.appendTimeoutMillis
        ) { liveInstances().size }
        duties += PeriodicDuty("instance-list", LIST_INTERVAL_MILLIS) { refreshList(peerPort) }
        duties += PeriodicDuty("ticker", TICK_MILLIS, ::tick)
        duties += CheckpointDuty(store, records, ::isCheckpointer)
        server = buildServer()
        operatorServer = buildOperatorServer()
        CompletableFuture.allOf(server.start(), operatorServer.start()).join()
    }

    /** Leaves: says so, still serves for a while, lets requests end, and gives its slots back. */
    public fun shutDownGracefully() {
        phase.set(Phase.LEAVING)
        log.info("leaving: not ready from now on")
        waitMillis(settings.lameDuckMillis)
        server.stop().join()
        slots.releaseAll()
        records.drain(DRAIN_RECORDS_MILLIS)
        close()
        log.info("left")
    }

    override fun close() {
        duties.forEach { it.close() }
        listOf(slots, reports, placement, tail, records, decisions, store, mesh)
            .forEach { it.close() }
        CompletableFuture.allOf(server.stop(), operatorServer.stop()).join()
        factory.close()
    }

    private fun buildServer(): Server {
        val admitter = Admitter(decisions, placement, mesh, clock, settings.loadWaitMillis)
        val relay = AnswerRelay(engines, admitter, decisions, settings.silenceMillis)
        val gate = BookingGate(store, records, clock, settings.appendTimeoutMillis)
        val callers = CallerApi(
            store = store,
            chat = ChatService(store, admitter, relay, decisions, clock),
            routes = RouteService(store, admitter, HttpPlainClient(factory), gate, decisions),
            mayServe = ::mayServe,
            maxBodyBytes = settings.maxBodyBytes
        )
        return Server.builder()
            .http(settings.address(settings.callerPort))
            .maxNumConnections(settings.maxConnections)
            .maxRequestLength(settings.maxBodyBytes)
            .requestTimeout(Duration.ZERO)
            .errorHandler(CallerErrors(settings.maxBodyBytes))
            .gracefulShutdownTimeoutMillis(QUIET_MILLIS, settings.drainMillis)
            .service("/health/live", HttpService { _, _ -> text(HttpStatus.OK, "live") })
            .service("/health/ready", HttpService { _, _ -> readiness() })
            .serviceUnder("/", callers.decorate(::counted))
            .build()
    }

    private fun buildOperatorServer(): Server {
        val operators = OperatorApi(
            store,
            records,
            settings.operators,
            ::status,
            hearsFromMajority = { freshness().hearsFromMajority }
        )
        return Server.builder()
            .http(settings.address(settings.operatorPort))
            .maxRequestLength(OPERATOR_BODY_BYTES)
            .service("/metrics", HttpService { _, _ -> text(HttpStatus.OK, metrics.page()) })
            .serviceUnder("/", operators)
            .build()
    }

    private fun counted(
        service: HttpService,
        context: ServiceRequestContext,
        request: HttpRequest
    ): HttpResponse {
        val startMillis = clock.monotonicMillis()
        context.log().whenComplete().thenAccept {
            val status = it.responseHeaders().status().code()
            metrics.count(status, clock.monotonicMillis() - startMillis)
        }
        return service.serve(context, request)
    }

    private fun mayServe(): Boolean = phase.get() != Phase.STARTING && freshness().isFresh

    private fun tick() {
        records.expire()
        if (phase.get() == Phase.STARTING && knowsEnough()) {
            phase.compareAndSet(Phase.STARTING, Phase.READY)
            log.info("ready at revision {}", store.state.revision)
            whenReady.complete(null)
        }
    }

    private fun knowsEnough(): Boolean {
        val isConfigured = store.state.revision > 0 && freshness().isFresh
        val isLogSilent = peerHandler.logAgeMillis() > StateFreshness.MAX_AGE_MILLIS
        return isConfigured && reports.hasPolled && (hasSlots() || isLogSilent)
    }

    private fun hasSlots(): Boolean = decisions.state.limiter.heldSlots > 0

    private fun refreshList(peerPort: Int) {
        val state =
            if (phase.get() == Phase.LEAVING) InstanceState.LEAVING else InstanceState.LIVE
        instanceList.register(
            ListedInstance(
                id = settings.instanceId,
                failureDomain = settings.failureDomain,
                peerHost = settings.host,
                peerPort = peerPort,
                state = state
            )
        )
        listed = instanceList.read() ?: listed
        mesh.connect(listed.map { PeerAddress(it.id, it.peerHost, it.peerPort) })
    }

    private fun liveInstances(): Set<String> =
        listed.filter { it.state == InstanceState.LIVE }.map { it.id }.toSet() +
            settings.instanceId

    private fun isCheckpointer(): Boolean =
        store.state.slots.entry(0).holder.let { it == null || it == writer }

    private fun freshness(): StateFreshness = StateFreshness(
        self = settings.instanceId,
        nextOffset = store.state.nextOffset,
        logReadSentMillis = tail.lastReadSentMillis,
        peers = peerHandler.peerHeartbeats(),
        knownInstances = liveInstances(),
        nowMillis = clock.monotonicMillis()
    )

    private fun status(): InstanceStatus {
        val state = store.state
        val dispatch = decisions.state
        val now = clock.monotonicMillis()
        val fresh = freshness()
        return InstanceStatus(
            instance = settings.instanceId,
            isReady = isReady,
            isFresh = fresh.isFresh,
            revision = state.revision,
            nextOffset = state.nextOffset,
            logAgeMillis = fresh.logAgeMillis(),
            rateSlots = dispatch.limiter.heldSlots,
            peers = mesh.connectedPeers.sorted(),
            servers = state.index.configuration.backendServers.map { server ->
                val view = dispatch.servers.view(server.name)
                ServerStatus(
                    server = server.name,
                    warmth = view.warmth(now).name,
                    inFlight = view.inFlight,
                    running = view.report?.running ?: 0,
                    waiting = view.report?.waiting ?: 0,
                    ready = view.report?.ready.orEmpty(),
                    committedBytes = state.ledger.committedBytes(server.name),
                    memoryBytes = server.memoryBytes
                )
            }
        )
    }

    private fun readiness(): HttpResponse = if (isReady) {
        text(HttpStatus.OK, "ready")
    } else {
        text(HttpStatus.SERVICE_UNAVAILABLE, phase.get().name.lowercase())
    }

    private fun text(status: HttpStatus, text: String): HttpResponse =
        HttpResponse.of(status, MediaType.PLAIN_TEXT, text)

    private fun waitMillis(millis: Long) {
        CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 1_000L
        const val PING_INTERVAL_MILLIS = 5_000L
        const val LIST_INTERVAL_MILLIS = 2_000L
        const val OPERATOR_BODY_BYTES = 16L * 1_024 * 1_024
        const val TICK_MILLIS = 100L
        const val QUIET_MILLIS = 200L
        const val DRAIN_RECORDS_MILLIS = 3_000L
        val log = LoggerFactory.getLogger(Instance::class.java)
    }
}

private fun Settings.address(port: Int) = InetSocketAddress(host, port)
