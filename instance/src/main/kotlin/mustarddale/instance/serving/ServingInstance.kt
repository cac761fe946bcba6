/*
 * One serving instance: wires its parts together, tells when it is ready, and leaves without
 * cutting a request. One event loop owns all decisions and all HTTP; instances have one core, so
 * more threads would only take turns.
 */
package mustarddale.instance.serving

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.util.EventLoopGroups
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServiceRequestContext
import io.micrometer.core.instrument.Metrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.netty.channel.ChannelOption
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
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import mustarddale.instance.serving.feed.KeyedFeed
import mustarddale.instance.serving.feed.TopicLog
import mustarddale.instance.serving.forward.Admission
import mustarddale.instance.serving.forward.BackendExchange
import mustarddale.instance.serving.forward.CallerService
import mustarddale.instance.serving.forward.ConnectionWatch
import mustarddale.instance.serving.forward.Forwarder
import mustarddale.instance.serving.forward.RequestTarget
import mustarddale.instance.serving.leader.EngineControlClient
import mustarddale.instance.serving.leader.LeaderConnections
import mustarddale.instance.serving.leader.LeaderController
import mustarddale.instance.serving.leader.LeaderElector
import mustarddale.instance.serving.leader.MemberAgent
import mustarddale.instance.serving.leader.TokenBorrower
import mustarddale.instance.serving.protocol.ServingProtocol
import mustarddale.instance.serving.settings.ServingSettings
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.backend.BackendChoice
import mustarddale.serving.leadership.LeaderRecord
import mustarddale.time.Clock
import mustarddale.time.SystemClock

/** The connections of a serving instance to the systems around it. */
public interface ServingPlatform {
    /** The platform's log. */
    public val log: TopicLog

    /** The dialect of callers and backend servers. */
    public val protocol: ServingProtocol

    /** Orders to engines. */
    public val orders: EngineControlClient

    /** Returns the feeds that bring configuration and backend servers into [state]. */
    public fun feeds(state: ServingState): Feeds
}

/**
 * The feeds of an instance.
 *
 * @property operators brings what operators decide; each instance reads it itself.
 * @property backends brings what backend servers say; the leader reads it for all.
 */
public data class Feeds(public val operators: KeyedFeed, public val backends: KeyedFeed)

/** A serving instance with [settings]; [connect] makes the platform's side of it. */
public class ServingInstance(
    private val settings: ServingSettings,
    private val clock: Clock = SystemClock,
    connect: (ClientFactory, Clock) -> ServingPlatform
) : AutoCloseable {
    private val group = EventLoopGroups.newEventLoopGroup(1, "serving", true)
    private val loop = group.next()
    private val dispatcher = loop.asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val random = RandomGenerator.getDefault()
    private val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val clients = ClientFactory.builder()
        .workerGroup(group, false)
        .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
        .idleTimeoutMillis(CLIENT_IDLE_MILLIS)
        .connectionPoolListener(ConnectionWatch.Adder)
        .channelOption(ChannelOption.SO_KEEPALIVE, true)
        .channelOption(EpollChannelOption.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MILLIS)
        .channelOption(EpollChannelOption.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
        .channelOption(EpollChannelOption.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
        .channelOption(EpollChannelOption.TCP_KEEPCNT, KEEPALIVE_PROBES)
        .build()
    private val platform = connect(clients, clock)
    private val state = ServingState(settings, clock)
    private val self = LeaderRecord(
        instance = settings.instance,
        run = UUID.randomUUID().toString(),
        host = settings.host,
        port = settings.peerPort
    )
    private val leadership = LeaderElector(platform.log, self, clock, random)
    private val leader = LeaderController(
        scope,
        state,
        leadership,
        platform.orders,
        settings.instance,
        settings.orderLeaseMillis,
        clock
    )
    private val feeds = platform.feeds(state)
    private val member = MemberAgent(state, feeds.backends, self.instance, self.run, clock)
    private val loans = TokenBorrower(clock)
    private val link =
        LeaderConnections(self, leadership, member, leader, loans, feeds.backends, dispatcher)
    private val forwarder = Forwarder(
        state,
        BackendChoice(random),
        BackendExchange(clients, platform.protocol),
        platform.protocol,
        settings.failureDomain,
        clock
    )
    private val callers = CallerService(
        scope,
        platform.protocol,
        Admission(state),
        forwarder,
        loans,
        state.startGate,
        clock,
        ::closeIfLeaving,
        ::mayAdmit
    )
    private var leavingSinceMillis: Long? = null
    private val server: Server = Server.builder()
        .workerGroup(group, false)
        .http(InetSocketAddress(settings.host, settings.callerPort))
        .http(InetSocketAddress(settings.host, settings.readyPort))
        .http(InetSocketAddress(settings.host, settings.metricsPort))
        .childChannelPipelineCustomizer(RequestTarget::keepIn)
        .requestTimeoutMillis(0)
        .maxRequestLength(MAX_REQUEST_BYTES)
        .idleTimeoutMillis(CALLER_IDLE_MILLIS)
        .gracefulShutdownTimeoutMillis(0, 0)
        .service(
            "prefix:/",
            HttpService { ctx, req ->
                when (ctx.localAddress().port) {
                    settings.readyPort -> ready()
                    settings.metricsPort -> HttpResponse.of(
                        HttpStatus.OK,
                        MediaType.PLAIN_TEXT_UTF_8,
                        metrics.scrape()
                    )

                    else -> callers.serve(ctx, req)
                }
            }
        )
        .build()

    /** The requests of callers that have no final answer yet. */
    public val openRequests: Int get() = callers.openRequests

    /** Starts to serve. */
    public fun start() {
        state.onUrgentDemand = link::reportNow
        leader.onStateChanged = link::notifyMembers
        feeds.backends.onNews = link::notifyMembers
        Metrics.addRegistry(metrics)
        Metrics.gauge("mustarddale.requests.open", callers) { it.openRequests.toDouble() }
        Metrics.gauge("mustarddale.backends", state) { it.directory.backends.size.toDouble() }
        Metrics.gauge("mustarddale.instances", state) { it.instanceCount.toDouble() }
        server.start().join()
        scope.launch { feeds.operators.run() }
        scope.launch { feeds.backends.run() }
        scope.launch { leadership.run() }
        scope.launch { tick() }
        link.start()
        DecisionLog.record(
            "started",
            "instance" to settings.instance,
            "run" to self.run,
            "domain" to settings.failureDomain
        )
    }

    /** Takes over the bounds in [changed]; addresses stay until the next start. */
    public fun reload(changed: ServingSettings) {
        scope.launch {
            state.settings = changed
            DecisionLog.record("settings_reloaded", "instance" to changed.instance)
        }
    }

    private suspend fun tick() {
        while (true) {
            val changes = state.directory.dropLapsed(clock.monotonicMillis())
            state.apply(changes)
            member.tick()
            delay(TICK_MILLIS)
        }
    }

    private fun ready(): HttpResponse {
        val isReady = state.configuration != null && leavingSinceMillis == null &&
            state.directory.backends.isNotEmpty()
        return HttpResponse.of(if (isReady) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE)
    }

    private fun closeIfLeaving(ctx: ServiceRequestContext) {
        if (leavingSinceMillis != null) ctx.initiateConnectionShutdown(Duration.ZERO)
    }

    /** A leaving instance takes what still comes for a while, but nothing that it could not end. */
    private fun mayAdmit(): Boolean {
        val sinceMillis = leavingSinceMillis ?: return true
        return clock.monotonicMillis() - sinceMillis < LAST_ADMISSION_MILLIS
    }

    /** Leaves: takes no new callers, finishes what runs, and returns. */
    public fun leave(): Unit = runBlocking(dispatcher) {
        val startMillis = clock.monotonicMillis()
        leavingSinceMillis = startMillis
        DecisionLog.record("leaving", "open" to callers.openRequests)
        leadership.resign()
        val endMillis = startMillis + settings.termGraceMillis - EXIT_MARGIN_MILLIS
        delay(LAST_ADMISSION_MILLIS)
        state.modelWaiters.close()
        var quietSince = clock.monotonicMillis()
        while (clock.monotonicMillis() < endMillis) {
            if (callers.openRequests > 0) quietSince = clock.monotonicMillis()
            if (clock.monotonicMillis() - quietSince >= QUIET_MILLIS) break
            delay(LEAVE_CHECK_MILLIS)
        }
        DecisionLog.record("stopped", "open" to callers.openRequests)
    }

    /** Stops at once, without finishing what runs. */
    override fun close() {
        scope.cancel()
        Metrics.removeRegistry(metrics)
        link.close()
        server.stop().join()
        clients.close()
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Servers of the region answer within a few milliseconds. */
        const val CONNECT_TIMEOUT_MILLIS = 400L

        /** Shorter than the time after which servers close idle connections. */
        const val CLIENT_IDLE_MILLIS = 4_000L

        /** After that an unanswered segment or probe shows that the path is gone. */
        const val UNACKED_TIMEOUT_MILLIS = 1_000
        const val KEEPALIVE_SECONDS = 1
        const val KEEPALIVE_PROBES = 2

        /** Above every limit that the operators set so far (4 MiB). */
        const val MAX_REQUEST_BYTES = 8L * 1_024 * 1_024

        /** Longer than callers keep an idle connection (15 s by the configuration). */
        const val CALLER_IDLE_MILLIS = 30_000L

        const val TICK_MILLIS = 200L

        /** The balancer asks each second and takes an instance out after two misses. */
        const val LAST_ADMISSION_MILLIS = 2_800L

        /** Callers with open connections ask again within about that time. */
        const val QUIET_MILLIS = 1_000L

        /** Left for the exit itself, before the platform kills the process. */
        const val EXIT_MARGIN_MILLIS = 700L

        const val LEAVE_CHECK_MILLIS = 50L
    }
}
