/*
 * One serving instance: connects its parts, answers readiness checks, and shuts down without
 * interrupting requests. One event loop runs all decisions and all HTTP, as an instance has one
 * CPU core and more threads would not run in parallel.
 */
package mustarddale.instance.serving

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.util.EventLoopGroups
import com.linecorp.armeria.common.util.TransportType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServiceRequestContext
import io.micrometer.core.instrument.Metrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPipeline
import io.netty.channel.RecvByteBufAllocator
import io.netty.channel.epoll.EpollChannelOption
import java.net.InetSocketAddress
import java.time.Duration
import java.util.UUID
import java.util.concurrent.TimeUnit
import java.util.random.RandomGenerator
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.future
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.instance.http.BackendConnections
import mustarddale.instance.http.ClientConnections
import mustarddale.instance.http.ClientPort
import mustarddale.instance.http.ConnectionPacer
import mustarddale.instance.http.ConnectionProbe
import mustarddale.instance.http.MultiplexedRequests
import mustarddale.instance.http.ResponseCorrelation
import mustarddale.instance.serving.feed.KeyedFeed
import mustarddale.instance.serving.feed.StoreRetries
import mustarddale.instance.serving.feed.TopicLog
import mustarddale.instance.serving.forward.Admission
import mustarddale.instance.serving.forward.BackendClient
import mustarddale.instance.serving.forward.CallerService
import mustarddale.instance.serving.forward.Forwarder
import mustarddale.instance.serving.forward.RequestJobs
import mustarddale.instance.serving.forward.RequestTarget
import mustarddale.instance.serving.leader.CloudClient
import mustarddale.instance.serving.leader.EngineControlClient
import mustarddale.instance.serving.leader.LeaderConnections
import mustarddale.instance.serving.leader.LeaderController
import mustarddale.instance.serving.leader.LeaderElector
import mustarddale.instance.serving.leader.LeaderLoans
import mustarddale.instance.serving.leader.MemberAgent
import mustarddale.instance.serving.protocol.ServingProtocol
import mustarddale.instance.serving.relay.PathProber
import mustarddale.instance.serving.relay.RelayService
import mustarddale.instance.serving.settings.ServingSettings
import mustarddale.instance.serving.state.ServingState
import mustarddale.instance.serving.version.ListStatusExchange
import mustarddale.instance.serving.version.VersionSurvey
import mustarddale.serving.backend.BackendAddress
import mustarddale.serving.backend.BackendSelector
import mustarddale.serving.buffer.BufferBudget
import mustarddale.serving.leadership.LeaderRecord
import mustarddale.serving.path.RelayPeer
import mustarddale.serving.shutdown.ShutdownSchedule
import mustarddale.time.Clock
import mustarddale.time.SystemClock

/** The connections of a serving instance to its platform. */
public interface ServingPlatform {
    /** The platform's log. */
    public val log: TopicLog

    /** Delays the retries of all readers of [log]. */
    public val storeRetries: StoreRetries

    /** The HTTP headers of callers and backend servers. */
    public val protocol: ServingProtocol

    /** Sends orders to engines and fetches their reports. */
    public val engineClient: EngineControlClient

    /** Calls the platform for the leader's duties, null if there are none. */
    public val cloudClient: CloudClient? get() = null

    /** Returns where this machine reaches the server at [address], which a gateway may change. */
    public fun routeTo(address: BackendAddress): BackendAddress = address

    /** Returns the feeds that update the configuration and the backend servers in [state]. */
    public fun feeds(state: ServingState): Feeds
}

/**
 * The feeds of an instance.
 *
 * @property operators the configuration and the draining failure domains, read by each instance.
 * @property backends the entries of backend servers, read by the leader for all instances.
 */
public data class Feeds(public val operators: KeyedFeed, public val backends: KeyedFeed)

/** A serving instance with [settings]; [connectPlatform] creates its connections. */
public class ServingInstance(
    private val settings: ServingSettings,
    private val clock: Clock = SystemClock,
    connectPlatform: (ClientFactory, Clock) -> ServingPlatform
) : AutoCloseable {
    private val eventLoopGroup = EventLoopGroups.newEventLoopGroup(1, "serving", true)
    private val eventLoop = eventLoopGroup.next()
    private val dispatcher = eventLoop.asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val random = RandomGenerator.getDefault()
    private val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val correlation: ResponseCorrelation by lazy {
        ResponseCorrelation(platform.protocol.requestIdHeader, clock, UnmatchedResponseLog)
    }
    private val clientFactory = BackendConnections
        .factoryBuilder(RequestTarget.Restorer) { correlation }
        .workerGroup(eventLoopGroup, false)
        .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
        .idleTimeoutMillis(BACKEND_IDLE_TIMEOUT_MILLIS)
        .channelOption(ChannelOption.SO_KEEPALIVE, true)
        .channelOption(EpollChannelOption.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MILLIS)
        .channelOption(EpollChannelOption.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
        .channelOption(EpollChannelOption.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
        .channelOption(EpollChannelOption.TCP_KEEPCNT, KEEPALIVE_PROBES)
        .build()
    private val platform = connectPlatform(clientFactory, clock)
    private val state = ServingState(settings, clock)
    private val buffers = BufferBudget(settings.bufferBytes)
    private val watchdog = EventLoopWatchdog(clock)
    private val ownRecord = LeaderRecord(
        instance = settings.instance,
        run = UUID.randomUUID().toString(),
        host = settings.host,
        port = settings.peerPort
    )
    private val connectionProbe =
        ConnectionProbe(eventLoop, TransportType.socketChannelType(eventLoopGroup))
    private val elector =
        LeaderElector(platform.log, ownRecord, clock, random, platform.storeRetries)
    private val leaderController = LeaderController(
        scope,
        state,
        elector,
        platform.engineClient,
        settings.instance,
        settings.orderLeaseMillis,
        clock,
        probe = { connectionProbe.connect(it.host, it.port) },
        cloudClient = platform.cloudClient
    )
    private val feeds = platform.feeds(state)
    private val memberAgent = MemberAgent(
        state,
        feeds.backends,
        ownRecord,
        RelayPeer(
            ownRecord.instance,
            ownRecord.run,
            settings.host,
            settings.relayPort,
            settings.failureDomain
        ),
        clock
    )
    private val loans = LeaderLoans(clock)
    private val leaderConnections = LeaderConnections(
        ownRecord,
        elector,
        memberAgent,
        leaderController,
        loans,
        feeds.backends,
        clock,
        dispatcher
    )
    private val listStatusExchange = ListStatusExchange(clientFactory)
    private val versionSurvey = VersionSurvey(
        state.streamVersions,
        feeds.backends,
        { listStatusExchange.poll(settings.failureDomain, state.relayPeers.named) },
        clock
    )
    private val forwarder = Forwarder(
        state,
        BackendSelector(random),
        BackendClient(clientFactory, platform.protocol, platform::routeTo),
        platform.protocol,
        settings.failureDomain,
        loans,
        versionSurvey,
        buffers,
        clock
    )
    private val admission = Admission(state)
    private val jobs = RequestJobs(scope)
    private val callerService = CallerService(
        jobs,
        platform.protocol,
        admission,
        forwarder,
        loans,
        state.startupGate,
        buffers,
        clock,
        ::closeConnectionOnShutdown,
        ::mayAdmit
    )
    private val relayService = RelayService(
        ownRecord.run,
        platform.protocol,
        admission,
        forwarder,
        jobs,
        buffers,
        clock,
        mayAdmit = { shutdown == null }
    )
    private val pathProber = PathProber(scope, state, connectionProbe, platform::routeTo)
    private val connectionPacer =
        ConnectionPacer(eventLoop, clock, canAnswer = { state.startupGate.maxWaitMillis() == 0L })
    private val clientConnections = ClientConnections(
        settings.connectionLimits,
        headTimeoutMillis = { state.configuration?.limits?.headerTimeoutMillis ?: 0 },
        onClosed = ClosedConnectionLog::record
    )
    private val multiplexedRequests = MultiplexedRequests(
        settings.connectionLimits.maxMultiplexed,
        settings.connectionLimits.maxMultiplexedOfOne
    )
    private var isYielding = false
    private var shutdown: ShutdownSchedule? = null
    private val server: Server = Server.builder()
        .workerGroup(eventLoopGroup, false)
        .http(InetSocketAddress(settings.host, settings.callerPort))
        .http(InetSocketAddress(settings.host, settings.readyPort))
        .http(InetSocketAddress(settings.host, settings.metricsPort))
        .childChannelPipelineCustomizer(::prepareConnection)
        .childChannelOption(ChannelOption.RECVBUF_ALLOCATOR, boundedReads)
        .maxNumConnections(settings.connectionLimits.maxAccepted)
        .requestTimeoutMillis(0)
        .maxRequestLength(MAX_REQUEST_BYTES)
        .http2MaxStreamsPerConnection(settings.connectionLimits.maxMultiplexedOfOne.toLong())
        .http1MaxInitialLineLength(MAX_HEAD_BYTES)
        .http1MaxHeaderSize(MAX_HEAD_BYTES)
        .idleTimeoutMillis(CALLER_IDLE_TIMEOUT_MILLIS)
        .gracefulShutdownTimeoutMillis(0, 0)
        .service(
            "prefix:/",
            HttpService { ctx, req ->
                if (multiplexedRequests.tryBegin(ctx)) {
                    serve(ctx, req)
                } else {
                    callerService.refuseOverload(req.headers())
                }
            }
        )
        .build()

    /** Number of callers' requests whose responses have not ended. */
    public val openRequests: Int get() = jobs.openCount

    /** Number of streams whose software versions this instance knows. */
    public val streamRecords: Int get() = state.streamVersions.size

    /** Starts the server, the feeds, the election and the connections to other instances. */
    public fun start() {
        state.onUrgentDemand = leaderConnections::reportNow
        state.streamVersions.onRecord = leaderConnections::reportStreams
        state.paths.onShortage = {
            state.relayPeers.expect()
            leaderConnections.reportNow()
            pathProber.probe()
        }
        elector.isEligible = { !isCutOff() }
        elector.onLeaderKnown = {
            state.suspectedRequests.updateFromRecord(it.requestVerdicts)
            state.streamVersions.recordTold(it.mixedServices)
        }
        leaderController.onStateChanged = leaderConnections::notifyMembers
        feeds.backends.onRead = leaderConnections::notifyMembers
        registerMetrics()
        server.start().join()
        scope.launch { state.startupGate.onListening() }
        scope.launch { feeds.operators.run() }
        scope.launch { feeds.backends.run() }
        scope.launch { feeds.backends.runRefreshes() }
        scope.launch { versionSurvey.run() }
        scope.launch { elector.run() }
        scope.launch { runPeriodicTasks() }
        scope.launch { state.lateness.run { state.startupGate.maxWaitMillis() == 0L } }
        scope.launch {
            repeatRounds("paths", PathProber.INTERVAL_MILLIS) { pathProber.probe() }
        }
        leaderConnections.start()
        watchdog.start()
        DecisionLog.record(
            "started",
            "instance" to settings.instance,
            "run" to ownRecord.run,
            "domain" to settings.failureDomain,
            "maxConnections" to settings.connectionLimits.maxConnections
        )
    }

    private fun registerMetrics() {
        Metrics.addRegistry(metrics)
        forwarder.registerMetrics(metrics)
        state.lateness.registerMetrics(metrics)
        metrics.gauge("mustarddale.requests.open", jobs) { it.openCount.toDouble() }
        metrics.gauge("mustarddale.requests.multiplexed", multiplexedRequests) {
            it.openCount.toDouble()
        }
        metrics.gauge("mustarddale.backends", state) { it.directory.backends.size.toDouble() }
        metrics.gauge("mustarddale.instances", state) { (it.instanceCount ?: 0).toDouble() }
        metrics.gauge("mustarddale.server.limits", state) { it.limits.size.toDouble() }
        metrics.gauge("mustarddale.servers.limited", state) {
            it.serverEstimates.limitedCount.toDouble()
        }
        metrics.gauge("mustarddale.prompt.blocks", state) { it.promptBlocks.size.toDouble() }
        metrics.gauge("mustarddale.stream.records", state) { it.streamVersions.size.toDouble() }
        metrics.gauge("mustarddale.peers.named", state) { it.relayPeers.named.size.toDouble() }
        metrics.gauge("mustarddale.list.age.millis", versionSurvey) { it.listAgeMillis.toDouble() }
        metrics.gauge("mustarddale.services.cut.off", state) {
            it.paths.cutOffServices.size.toDouble()
        }
        metrics.gauge("mustarddale.usage.backlog", leaderController) {
            it.usageBacklog.toDouble()
        }
        metrics.gauge("mustarddale.connections.held", connectionPacer) { it.heldCount.toDouble() }
        metrics.gauge("mustarddale.connections.open", clientConnections) { it.count.toDouble() }
        metrics.gauge("mustarddale.connections.held.bytes", clientConnections) {
            it.heldBytes.toDouble()
        }
        metrics.gauge("mustarddale.buffers.held.bytes", buffers) { it.heldBytes.toDouble() }
        metrics.gauge("mustarddale.buffers.refused", buffers) { it.refusedCount.toDouble() }
        metrics.gauge("mustarddale.request.blocks", state) {
            it.suspectedRequests.blockedCount.toDouble()
        }
    }

    /** Applies the limits in [newSettings]; changed addresses take effect only at a restart. */
    public fun reload(newSettings: ServingSettings) {
        scope.launch {
            state.settings = newSettings
            DecisionLog.record("settings_reloaded", "instance" to newSettings.instance)
        }
    }

    private suspend fun runPeriodicTasks() {
        repeatRounds("instance", TICK_INTERVAL_MILLIS) {
            val removals = state.directory.removeExpired(clock.monotonicMillis())
            state.apply(removals)
            state.updateDrainingDomains { removeExpired(it) }
            state.suspectedRequests.removeExpired()
            state.streamVersions.recordListed(state.directory.backends)
            memberAgent.tick()
            state.serverEstimates.tick()
            yieldIfCutOff()
            clientConnections.tick(clock.monotonicMillis(), TICK_INTERVAL_MILLIS)
            watchdog.tick()
        }
    }

    /** Whether this instance reaches no server of the engines that a leader manages. */
    private fun isCutOff(): Boolean {
        val services = state.configuration?.services.orEmpty().filterValues { it.engine != null }
        return services.isNotEmpty() && services.keys.all { state.paths.isCutOff(it) }
    }

    /** A leader without a path to engines can give no orders, and others can. */
    private fun yieldIfCutOff() {
        if (isYielding || !isCutOff() || !leaderController.hasBetterConnectedMember()) return
        isYielding = true
        scope.launch {
            elector.yieldLeadership("no engine is reached")
            isYielding = false
        }
    }

    private fun prepareConnection(pipeline: ChannelPipeline) {
        val channel = pipeline.channel()
        val port = when ((channel.localAddress() as? InetSocketAddress)?.port) {
            settings.readyPort -> ClientPort.READY
            settings.metricsPort -> ClientPort.INTERNAL
            else -> ClientPort.CALLERS
        }
        // The guard has to be in front of the handler that detects the protocol.
        val guard = clientConnections.newGuard(port)
        RequestTarget.preserveIn(pipeline, guard.gate)
        clientConnections.add(guard, channel)
        if (port == ClientPort.CALLERS && channel.isOpen) connectionPacer.hold(channel)
    }

    private fun serve(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse =
        when (ctx.localAddress().port) {
            settings.readyPort -> readinessResponse()
            settings.metricsPort -> serveInternal(ctx, req)
            else -> callerService.serve(ctx, req)
        }

    /** Serves other instances and the platform, but no callers. */
    private fun serveInternal(ctx: ServiceRequestContext, req: HttpRequest): HttpResponse {
        if (relayService.handles(req.headers())) return relayService.serve(ctx, req)
        if (ListStatusExchange.handles(req)) {
            return HttpResponse.of(
                scope.future { ListStatusExchange.answer(versionSurvey.status()) }
            )
        }
        return HttpResponse.of(HttpStatus.OK, MediaType.PLAIN_TEXT_UTF_8, metrics.scrape())
    }

    private fun readinessResponse(): HttpResponse {
        val isReady = state.configuration != null && shutdown == null &&
            state.directory.backends.isNotEmpty()
        return HttpResponse.of(if (isReady) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE)
    }

    /** During a shutdown, closes the connection of [ctx] after its response. */
    private fun closeConnectionOnShutdown(ctx: ServiceRequestContext) {
        if (shutdown != null) ctx.initiateConnectionShutdown(Duration.ZERO)
    }

    private fun mayAdmit(): Boolean = shutdown?.mayAdmit(clock.monotonicMillis()) ?: true

    /**
     * Resigns leadership, lets new requests go to other instances, and returns when the open ones
     * have ended; those that are still open when the grace period is nearly over are ended.
     */
    public fun shutDownGracefully(): Unit = runBlocking(dispatcher) {
        val schedule = ShutdownSchedule(clock.monotonicMillis(), settings.termGraceMillis)
        shutdown = schedule
        DecisionLog.record("leaving", "open" to jobs.openCount)
        elector.resign()
        delay(schedule.admissionEndMillis - schedule.startMillis)
        state.modelWaiters.close()
        var idleSinceMillis = clock.monotonicMillis()
        while (clock.monotonicMillis() < schedule.finalResponsesAtMillis) {
            if (jobs.openCount > 0) idleSinceMillis = clock.monotonicMillis()
            if (clock.monotonicMillis() - idleSinceMillis >= IDLE_BEFORE_EXIT_MILLIS) break
            delay(SHUTDOWN_CHECK_INTERVAL_MILLIS)
        }
        val unfinished = jobs.openCount
        forwarder.endOpenRequests()
        withTimeoutOrNull(FINAL_RESPONSE_MILLIS) {
            while (jobs.openCount > 0) delay(FINAL_RESPONSE_CHECK_MILLIS)
        }
        DecisionLog.record(
            "stopped",
            "unfinished" to unfinished,
            "open" to jobs.openCount
        )
    }

    /** Stops at once, without finishing open requests. */
    override fun close() {
        scope.cancel()
        Metrics.removeRegistry(metrics)
        watchdog.close()
        leaderConnections.close()
        server.stop().join()
        clientFactory.close()
        eventLoopGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Servers are in the same region and accept connections within a few milliseconds. */
        const val CONNECT_TIMEOUT_MILLIS = 400L

        /** Shorter than backend servers' idle timeout, after which they close a connection. */
        const val BACKEND_IDLE_TIMEOUT_MILLIS = 4_000L

        /** A segment or probe unacknowledged for this long shows that the connection is lost. */
        const val UNACKED_TIMEOUT_MILLIS = 1_000
        const val KEEPALIVE_SECONDS = 1
        const val KEEPALIVE_PROBES = 2

        /** Above the highest limit that operators have configured (4 MiB). */
        const val MAX_REQUEST_BYTES = 8L * 1_024 * 1_024

        /** Above the configured limit for the head of a request (16 KiB). */
        const val MAX_HEAD_BYTES = 32 * 1_024

        /**
         * Bounds what one connection can make the event loop read in one turn. Otherwise a turn
         * reads up to a megabyte, before anything can stop the reading.
         */
        val boundedReads: RecvByteBufAllocator =
            AdaptiveRecvByteBufAllocator(64, 2_048, 16 * 1_024).maxMessagesPerRead(1)

        /** Longer than the configured idle timeout of callers (15 s). */
        const val CALLER_IDLE_TIMEOUT_MILLIS = 30_000L

        const val TICK_INTERVAL_MILLIS = 200L

        /** Callers with open connections send their next request within about this time. */
        const val IDLE_BEFORE_EXIT_MILLIS = 1_000L

        const val SHUTDOWN_CHECK_INTERVAL_MILLIS = 50L

        /** The longest time for callers to receive final responses before the exit. */
        const val FINAL_RESPONSE_MILLIS = 200L
        const val FINAL_RESPONSE_CHECK_MILLIS = 5L
    }
}
