/*
 * An instance, the process that callers send requests to: creates its components, starts them in
 * order, and shuts down without interrupting requests in flight.
 */
package mustarddale.instance

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
import mustarddale.instance.caller.AdmissionController
import mustarddale.instance.caller.AtMostOnceGuard
import mustarddale.instance.caller.CallerApi
import mustarddale.instance.caller.CallerErrorHandler
import mustarddale.instance.caller.ChatService
import mustarddale.instance.caller.CompletionRelay
import mustarddale.instance.caller.HttpRouteClient
import mustarddale.instance.caller.RouteService
import mustarddale.instance.decision.DispatchLoop
import mustarddale.instance.decision.DispatchLoop.Update
import mustarddale.instance.decision.LoadReportPoller
import mustarddale.instance.decision.PlacementDuty
import mustarddale.instance.decision.SlotLeaseManager
import mustarddale.instance.duty.PeriodicDuty
import mustarddale.instance.engine.HttpEngineClient
import mustarddale.instance.http.BackendConnections
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

/** The lifecycle phase of an instance. */
private enum class LifecyclePhase { STARTING, READY, LEAVING }

/** An instance that serves callers and operators as configured by [settings]. */
public class Instance(private val settings: Settings, private val clock: Clock = SystemClock) :
    AutoCloseable {
    private val phase = AtomicReference(LifecyclePhase.STARTING)
    private val writer = WriterId(settings.instanceId, UUID.randomUUID().toString())
    private val clientFactory = BackendConnections.factoryBuilder()
        .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
        .pingIntervalMillis(PING_INTERVAL_MILLIS)
        .build()
    private val logClient = HttpLogClient(settings.logUrl)
    private val instanceList = HttpInstanceList(settings.instanceListUrl)
    private val engineClient = HttpEngineClient(clientFactory)
    private val store = ControlStore()
    private val dispatchLoop = DispatchLoop(clock, RandomGenerator.getDefault())
    private val recordWriter = RecordWriter(writer, logClient, clock, store)
    private val logTail = LogTail(logClient, store, clock)
    private val peerHandler =
        ControlStatePeerHandler(store, dispatchLoop, clock) { logTail.lastReadSentMillis }
    private val mesh = PeerMesh(settings.instanceId, peerHandler, settings.peerHeartbeatMillis)

    @Volatile
    private var listedInstances: List<ListedInstance> = emptyList()
    private val placement = PlacementDuty(
        store,
        recordWriter,
        engineClient,
        clock,
        settings.appendTimeoutMillis,
        ::liveInstances
    )
    private lateinit var loadPoller: LoadReportPoller
    private lateinit var slotManager: SlotLeaseManager
    private lateinit var callerServer: Server
    private lateinit var operatorServer: Server
    private val metrics = InstanceMetrics(::status)
    private val duties = mutableListOf<AutoCloseable>()

    /** Completes when this instance becomes ready for the first time. */
    public val whenReady: CompletableFuture<Void> = CompletableFuture()

    /** The latest configuration revision that this instance has applied. */
    public val knownRevision: Long get() = store.state.revision

    /** Whether this instance is in service and its control state is fresh. */
    public val isReady: Boolean
        get() = phase.get() == LifecyclePhase.READY && freshness().isFresh

    /** Starts all components and servers; [whenReady] completes once requests can be served. */
    public fun start() {
        store.addStateListener { dispatchLoop.post(Update.ControlStateChanged(it)) }
        val peerPort = mesh.listen(settings.host, settings.peerPort)
        loadPoller = LoadReportPoller(
            store,
            recordWriter,
            engineClient,
            dispatchLoop,
            settings.reportIntervalMillis,
            settings.appendTimeoutMillis,
            ::liveInstances
        )
        slotManager = SlotLeaseManager(
            store,
            recordWriter,
            dispatchLoop,
            clock,
            settings.appendTimeoutMillis
        ) { liveInstances().size }
        duties += PeriodicDuty("instance-list", LIST_REFRESH_MILLIS) { refreshList(peerPort) }
        duties += PeriodicDuty("ticker", TICK_MILLIS, ::runPeriodicTasks)
        duties += CheckpointDuty(store, recordWriter, ::isCheckpointer)
        callerServer = buildCallerServer()
        operatorServer = buildOperatorServer()
        CompletableFuture.allOf(callerServer.start(), operatorServer.start()).join()
    }

    /**
     * Reports not ready, keeps serving for the lame-duck period, waits for requests in flight and
     * releases the rate slots.
     */
    public fun shutDownGracefully() {
        phase.set(LifecyclePhase.LEAVING)
        log.info("shutting down: reporting not ready")
        sleepMillis(settings.lameDuckMillis)
        callerServer.stop().join()
        slotManager.releaseAll()
        recordWriter.drain(RECORD_DRAIN_TIMEOUT_MILLIS)
        close()
        log.info("left")
    }

    override fun close() {
        duties.forEach { it.close() }
        listOf(slotManager, loadPoller, placement, logTail, recordWriter, dispatchLoop, store, mesh)
            .forEach { it.close() }
        CompletableFuture.allOf(callerServer.stop(), operatorServer.stop()).join()
        clientFactory.close()
    }

    private fun buildCallerServer(): Server {
        val admissionController =
            AdmissionController(dispatchLoop, placement, mesh, clock, settings.loadWaitMillis)
        val completionRelay =
            CompletionRelay(engineClient, admissionController, dispatchLoop, settings.silenceMillis)
        val guard = AtMostOnceGuard(store, recordWriter, clock, settings.appendTimeoutMillis)
        val callerApi = CallerApi(
            store = store,
            chat = ChatService(store, admissionController, completionRelay, dispatchLoop, clock),
            routes = RouteService(
                store,
                admissionController,
                HttpRouteClient(clientFactory),
                guard,
                dispatchLoop
            ),
            mayServe = ::mayServe,
            maxBodyBytes = settings.maxBodyBytes
        )
        return Server.builder()
            .http(settings.address(settings.callerPort))
            .maxNumConnections(settings.maxConnections)
            .maxRequestLength(settings.maxBodyBytes)
            .requestTimeout(Duration.ZERO)
            .errorHandler(CallerErrorHandler(settings.maxBodyBytes))
            .gracefulShutdownTimeoutMillis(SHUTDOWN_QUIET_PERIOD_MILLIS, settings.drainMillis)
            .service("/health/live", HttpService { _, _ -> plainText(HttpStatus.OK, "live") })
            .service("/health/ready", HttpService { _, _ -> readinessResponse() })
            .serviceUnder("/", callerApi.decorate(::withRequestMetrics))
            .build()
    }

    private fun buildOperatorServer(): Server {
        val operatorApi = OperatorApi(
            store,
            recordWriter,
            settings.operators,
            ::status,
            hearsFromMajority = { freshness().hearsFromMajority }
        )
        return Server.builder()
            .http(settings.address(settings.operatorPort))
            .maxRequestLength(MAX_OPERATOR_BODY_BYTES)
            .service("/metrics", HttpService { _, _ -> plainText(HttpStatus.OK, metrics.scrape()) })
            .serviceUnder("/", operatorApi)
            .build()
    }

    private fun withRequestMetrics(
        service: HttpService,
        context: ServiceRequestContext,
        request: HttpRequest
    ): HttpResponse {
        val startMillis = clock.monotonicMillis()
        context.log().whenComplete().thenAccept {
            val status = it.responseHeaders().status().code()
            metrics.recordRequest(status, clock.monotonicMillis() - startMillis)
        }
        return service.serve(context, request)
    }

    private fun mayServe(): Boolean = phase.get() != LifecyclePhase.STARTING && freshness().isFresh

    private fun runPeriodicTasks() {
        recordWriter.expire()
        if (phase.get() == LifecyclePhase.STARTING && canBecomeReady()) {
            phase.compareAndSet(LifecyclePhase.STARTING, LifecyclePhase.READY)
            log.info("ready at configuration revision {}", store.state.revision)
            whenReady.complete(null)
        }
    }

    /** An instance that cannot reach the log does not wait for rate slots: none can be claimed. */
    private fun canBecomeReady(): Boolean {
        val hasFreshConfiguration = store.state.revision > 0 && freshness().isFresh
        val isLogUnreachable = peerHandler.logAgeMillis() > StateFreshness.MAX_AGE_MILLIS
        return hasFreshConfiguration && loadPoller.hasPolled && (hasSlots() || isLogUnreachable)
    }

    private fun hasSlots(): Boolean = dispatchLoop.state.limiter.heldSlots > 0

    private fun refreshList(peerPort: Int) {
        val state =
            if (phase.get() == LifecyclePhase.LEAVING) InstanceState.LEAVING else InstanceState.LIVE
        instanceList.register(
            ListedInstance(
                id = settings.instanceId,
                failureDomain = settings.failureDomain,
                peerHost = settings.host,
                peerPort = peerPort,
                state = state
            )
        )
        listedInstances = instanceList.read() ?: listedInstances
        mesh.connect(listedInstances.map { PeerAddress(it.id, it.peerHost, it.peerPort) })
    }

    private fun liveInstances(): Set<String> =
        listedInstances.filter { it.state == InstanceState.LIVE }.map { it.id }.toSet() +
            settings.instanceId

    /** The holder of rate slot 0 writes checkpoints, or any instance while nobody holds it. */
    private fun isCheckpointer(): Boolean =
        store.state.slots.entry(0).holder.let { it == null || it == writer }

    private fun freshness(): StateFreshness = StateFreshness(
        self = settings.instanceId,
        nextOffset = store.state.nextOffset,
        logReadSentMillis = logTail.lastReadSentMillis,
        peers = peerHandler.peerHeartbeats(),
        knownInstances = liveInstances(),
        nowMillis = clock.monotonicMillis()
    )

    private fun status(): InstanceStatus {
        val state = store.state
        val dispatch = dispatchLoop.state
        val now = clock.monotonicMillis()
        val freshness = freshness()
        return InstanceStatus(
            instance = settings.instanceId,
            isReady = isReady,
            isFresh = freshness.isFresh,
            revision = state.revision,
            nextOffset = state.nextOffset,
            logAgeMillis = freshness.logAgeMillis(),
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

    private fun readinessResponse(): HttpResponse = if (isReady) {
        plainText(HttpStatus.OK, "ready")
    } else {
        plainText(HttpStatus.SERVICE_UNAVAILABLE, phase.get().name.lowercase())
    }

    private fun plainText(status: HttpStatus, text: String): HttpResponse =
        HttpResponse.of(status, MediaType.PLAIN_TEXT, text)

    private fun sleepMillis(millis: Long) {
        CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 1_000L
        const val PING_INTERVAL_MILLIS = 5_000L
        const val LIST_REFRESH_MILLIS = 2_000L
        const val MAX_OPERATOR_BODY_BYTES = 16L * 1_024 * 1_024
        const val TICK_MILLIS = 100L
        const val SHUTDOWN_QUIET_PERIOD_MILLIS = 200L
        const val RECORD_DRAIN_TIMEOUT_MILLIS = 3_000L
        val log = LoggerFactory.getLogger(Instance::class.java)
    }
}

private fun Settings.address(port: Int) = InetSocketAddress(host, port)
