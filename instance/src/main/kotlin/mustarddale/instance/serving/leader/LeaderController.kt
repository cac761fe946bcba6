/*
 * The leader's work: shares of client accounts' rates (ShareController), permits for requests to
 * cold and limited backend servers (PermitController), and models and adapters on engines
 * (PlacementController). All its state can be rebuilt from the reports of instances and engines, so
 * a new leader needs only the last leadership record. Runs on the event loop.
 */
package mustarddale.instance.serving.leader

import java.util.random.RandomGenerator
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import mustarddale.instance.http.ProbeResult
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.repeatRounds
import mustarddale.instance.serving.settings.CloudDuty
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.backend.FleetLoads
import mustarddale.serving.backend.ServerObservations
import mustarddale.serving.crash.RequestTrials
import mustarddale.serving.leadership.InstanceAddress
import mustarddale.serving.leadership.LastOrder
import mustarddale.serving.leadership.LeaderRecord
import mustarddale.serving.leadership.LeadershipTerm
import mustarddale.serving.leadership.withCallsOf
import mustarddale.serving.path.RelayDirectory
import mustarddale.serving.prompt.CrashAnalyzer
import mustarddale.serving.version.StreamRecords
import mustarddale.serving.version.VersionedStreams
import mustarddale.time.Clock
import mustarddale.time.MinInterval

/**
 * Does the leader's work while [elector] reports that this instance is the leader.
 *
 * @param instance the name of this instance, under which it sends orders to engines.
 * @param orderLeaseMillis the minimum time between orders of two successive leaders.
 * @param probe tries to connect to a process of an instance.
 * @param cloudClient makes the leader's calls to the platform, null for none.
 */
public class LeaderController(
    private val scope: CoroutineScope,
    private val state: ServingState,
    private val elector: LeaderElector,
    private val engineClient: EngineControlClient,
    private val instance: String,
    private val orderLeaseMillis: Long,
    private val clock: Clock,
    private val probe: suspend (InstanceAddress) -> ProbeResult,
    private val cloudClient: CloudClient? = null
) {
    private val openCalls = OpenCalls()

    /** The work of the newest term that this instance won; the term may be over. */
    private var newestTerm: TermWork? = null

    init {
        elector.onElected = { startTerm(it) }
        elector.fillInRecord = ::fillInRecord
        elector.onAppended = {
            newestTerm?.shares?.recordedHolders = it.shareHolders
            newestTerm?.cloud?.handleRecorded(it)
        }
    }

    /** The version of the engines' contents, which grows with each change. */
    public val contentsVersion: Long get() = newestTerm?.contents?.version ?: 0

    /** The version of the verdicts on requests, which grows with each change. */
    public val verdictVersion: Long get() = newestTerm?.trials?.version ?: 0

    /** The number of the newest stream whose version is known. */
    public val lastStreamNumber: Long get() = newestTerm?.streams?.lastNumber ?: 0

    /** The number of windows whose usage this leader still has to report. */
    public val usageBacklog: Int get() = activeTerm()?.cloud?.usageBacklog ?: 0

    /** Whether an instance that reaches all services could lead in place of this one. */
    public fun hasBetterConnectedMember(): Boolean =
        activeTerm()?.relays?.hasConnectedMember(clock.monotonicMillis()) ?: false

    /** Called when an engine's contents have changed or an instance got its first shares. */
    public var onStateChanged: () -> Unit = {}

    /** Processes the [report] of an instance; returns false if this instance is not the leader. */
    public fun handleReport(report: LeaderMessage.Report): Boolean {
        val current = activeTerm() ?: return false
        val nowMillis = clock.monotonicMillis()
        current.shares.handleReport(report, nowMillis)
        current.placement.handleReport(report, nowMillis)
        current.cloud?.handleReport(report, nowMillis)
        current.handlePromptReport(report, nowMillis)
        current.handleTrialReport(report, nowMillis)
        handleStreams(report.streams)
        state.notices.markLeaving(report.leavingServers)
        report.serverObservations?.let {
            current.handleServerObservations(ServerObservations.decode(it.bytes), nowMillis)
        }
        current.relays.report(
            report.instance,
            report.relayPeer,
            report.cutOffServices,
            report.needsRelay,
            nowMillis
        )
        if (current.permits.handleReport(report)) onStateChanged()
        return true
    }

    /** Processes the versions of [streams] that an instance has reported. */
    public fun handleStreams(streams: List<VersionedStreams>) {
        val current = activeTerm() ?: return
        val nowMillis = clock.monotonicMillis()
        streams.forEach { group ->
            group.requests.forEach { current.streams.put(it, group.version, nowMillis) }
        }
    }

    /** Returns what members have reported of servers since the news that [cursor] has passed on. */
    internal fun newsSince(cursor: ServerObservationsCursor): RecordBytes? {
        val current = activeTerm() ?: return null
        val nowMillis = clock.monotonicMillis()
        val news = cursor.advance(current.leadership.term, current.fleetLoads, nowMillis)
        return news?.let { RecordBytes(it.encode()) }
    }

    /** Returns the streams after [number] if [member] is one of those that keep them. */
    public fun streamsToKeep(member: String, number: Long): List<VersionedStreams> {
        val current = activeTerm() ?: return emptyList()
        val spacing = (current.shares.holderCount / STREAM_KEEPERS).coerceAtLeast(1)
        if (current.shares.rankOf(member) % spacing != 0) return emptyList()
        return VersionedStreams.of(current.streams.since(number))
    }

    /**
     * Returns the message that responds to report [reportNumber] of [member]; null if this
     * instance is not the leader.
     *
     * @param seenVersion the contents version of the last message; only later changes are included.
     */
    public fun stateFor(
        member: String,
        reportNumber: Long,
        seenVersion: Long
    ): LeaderMessage.State? {
        val current = activeTerm() ?: return null
        val grant = current.shares.grantFor(member)
        val nowMillis = clock.monotonicMillis()
        return LeaderMessage.State(
            term = current.leadership.term,
            answers = reportNumber,
            sentMillis = nowMillis,
            revision = grant?.revision ?: 0,
            shares = grant?.shares.orEmpty(),
            shareTotal = ShareController.GRANTED_FRACTION,
            shareLeaseMillis = ShareController.SHARE_LEASE_MILLIS,
            instances = current.shares.holderCount,
            engines = current.contents.changesSince(seenVersion, nowMillis),
            promptBlocks = current.crashes.blocks(nowMillis),
            requestVerdicts = current.trials.verdicts(nowMillis),
            mixedServices = state.streamVersions.history.mixedServices(nowMillis),
            serverLimits = current.permits.limits,
            rank = current.shares.rankOf(member),
            leavingServers = state.notices.leavingRuns,
            logEnd = elector.logEnd,
            relayPeers = current.relays.peersFor(member, nowMillis),
            usage = current.cloud?.usageProgress(member)
        )
    }

    /** Grants or refuses [request] of [member]; null if this instance is not the leader. */
    public fun lend(member: String, request: LeaderMessage.LoanRequest): LeaderMessage.LoanAnswer? {
        val current = activeTerm() ?: return null
        return when (request) {
            is LeaderMessage.TokensWanted -> current.shares.lend(request)
            is LeaderMessage.PermitWanted -> current.permits.lend(member, request)
            is LeaderMessage.ProbeWanted -> lendProbe(current, request)
            is LeaderMessage.TrialWanted -> lendTrial(current, request)
            is LeaderMessage.VersionWanted -> LeaderMessage.LoanAnswer(
                request.number,
                waitMillis = 0,
                version = current.streams.versionOf(request.stream)
            )
        }
    }

    private fun lendTrial(
        current: TermWork,
        request: LeaderMessage.TrialWanted
    ): LeaderMessage.LoanAnswer {
        val nowMillis = clock.monotonicMillis()
        val waitMillis = current.trials.requestTrial(
            request.digest,
            request.service,
            request.run,
            nowMillis
        )
        if (waitMillis == 0L) {
            DecisionLog.record(
                "request_tried",
                "digest" to request.digest,
                "server" to request.run
            )
        }
        return LeaderMessage.LoanAnswer(request.number, waitMillis)
    }

    private fun lendProbe(
        current: TermWork,
        request: LeaderMessage.ProbeWanted
    ): LeaderMessage.LoanAnswer {
        val waitMillis = current.crashes.requestProbe(request.parts, clock.monotonicMillis())
        if (waitMillis == 0L) DecisionLog.record("prompt_block_probed", "parts" to request.parts)
        return LeaderMessage.LoanAnswer(request.number, waitMillis)
    }

    private fun activeTerm(): TermWork? {
        val term = elector.ownTerm()
        val newest = newestTerm ?: return null
        if (newest.leadership.term == term) return newest
        newest.shares.handleLeadershipLost()
        return null
    }

    private fun startTerm(leadership: LeadershipTerm) {
        newestTerm?.job?.cancel()
        newestTerm = TermWork(leadership).also { it.start() }
    }

    private fun fillInRecord(record: LeaderRecord, newestRecord: LeaderRecord?): LeaderRecord {
        val current = activeTerm()
        return record.copy(
            lastOrder = if (current == null) {
                LastOrder.beforeTakeover(newestRecord, record.instance)
            } else {
                current.placement.lastOrder()
            },
            shareHolders =
            current?.shares?.holdersForRecord() ?: newestRecord?.shareHolders.orEmpty(),
            requestVerdicts = current?.trials?.lastingVerdicts(clock.monotonicMillis())
                ?: newestRecord?.requestVerdicts.orEmpty(),
            mixedServices = state.streamVersions.history.mixedServices(clock.monotonicMillis())
        ).let { current?.cloud?.fillIn(it) ?: takeOverCalls(it, newestRecord) }
    }

    /** Keeps what [newest] says of calls to the platform; [record] begins a leadership. */
    private fun takeOverCalls(record: LeaderRecord, newest: LeaderRecord?): LeaderRecord {
        val cloud = state.settings.cloud ?: return record
        val times = cloud.usageTimes.takeIf { cloud.has(CloudDuty.USAGE) }
        return record.withCallsOf(newest, clock.wallMillis(), times)
    }

    private inner class TermWork(val leadership: LeadershipTerm) {
        val contents = EngineContentsRegistry { onStateChanged() }
        val permits = PermitController(leadership, state, clock)
        val crashes = CrashAnalyzer()
        val streams = StreamRecords(MAX_STREAMS)
        val trials = RequestTrials(leadership.sinceMillis)
        val fleetLoads = FleetLoads()
        val relays = RelayDirectory(RandomGenerator.getDefault())
        private val blockInterval = MinInterval(BLOCK_INTERVAL_MILLIS)
        val shares = ShareController(leadership, state, clock) { onStateChanged() }
        private val endedProcesses =
            EndedProcessDetector(scope, clock, probe, shares::recordEnded)
        val placement = PlacementController(
            scope,
            leadership,
            state,
            engineClient,
            contents,
            instance,
            orderLeaseMillis,
            clock,
            mayOrder = { activeTerm() === this && elector.mayOrder() },
            onFenced = elector::handleFenced
        )
        val cloud = cloudClient?.let { client ->
            state.settings.cloud?.let { settings ->
                val calls = CloudCalls(
                    scope,
                    leadership,
                    instance,
                    orderLeaseMillis,
                    settings,
                    openCalls,
                    clock,
                    mayOrder = { activeTerm() === this && elector.mayOrder() }
                )
                CloudDuties(
                    leadership,
                    state,
                    settings,
                    client,
                    calls,
                    instance,
                    elector.processId,
                    clock
                )
            }
        }
        lateinit var job: Job
            private set

        fun start() {
            val nowMillis = clock.monotonicMillis()
            leadership.predecessor?.requestVerdicts.orEmpty()
                .forEach { trials.adopt(it, nowMillis) }
            job = scope.launch {
                repeatRounds("leader", TICK_INTERVAL_MILLIS, ::handleFailedRounds) {
                    if (activeTerm() === this@TermWork) tick()
                }
            }
        }

        private fun handleFailedRounds(count: Int) {
            if (count >= MAX_FAILED_ROUNDS) elector.stepDown("$count rounds have failed in a row")
        }

        /** Processes what an instance's report says about answered and lost requests. */
        fun handlePromptReport(report: LeaderMessage.Report, nowMillis: Long) {
            if (report.term != leadership.term) {
                report.promptBlocks.forEach { crashes.adopt(it, nowMillis) }
            }
            val hasUnblocked = crashes.recordAnswers(report.promptAnswers, report.answeredParts)
            report.crashSuspects.filter { it.parts.isNotEmpty() }
                .forEach { crashes.recordSuspect(it, nowMillis) }
            if (!hasUnblocked) return
            DecisionLog.record("prompts_unblocked", "blocked" to crashes.blocks(nowMillis))
            onStateChanged()
        }

        /** Processes what an instance's report says about requests that may crash servers. */
        fun handleTrialReport(report: LeaderMessage.Report, nowMillis: Long) {
            val versionBefore = trials.version
            if (report.term != leadership.term) {
                report.requestVerdicts.forEach { trials.adopt(it, nowMillis) }
            }
            report.crashSuspects.forEach {
                trials.recordLost(it.digest, it.service, it.server, nowMillis)
            }
            trials.recordAnswers(report.answeredSuspects)
            trials.endTrials(report.endedTrials)
            trials.recordServing(report.servingServers)
            if (trials.version != versionBefore) onStateChanged()
        }

        fun handleServerObservations(news: ServerObservations, nowMillis: Long) {
            fleetLoads.report(news, nowMillis) { state.serverObservations.find(it)?.slots }
        }

        private fun blockRequests(nowMillis: Long) {
            val versionBefore = trials.version
            trials.blockSuspects(nowMillis).forEach {
                DecisionLog.record(
                    "request_blocked",
                    "digest" to it,
                    "crashed" to trials.serversLostBy(it),
                    "term" to leadership.term
                )
            }
            if (trials.version != versionBefore) onStateChanged()
        }

        private fun blockPrompts(nowMillis: Long) {
            val newBlocks = crashes.blockSuspects(nowMillis)
            newBlocks.forEach {
                DecisionLog.record(
                    "prompts_blocked",
                    "parts" to it.parts,
                    "crashed" to it.servers,
                    "term" to leadership.term
                )
            }
            if (newBlocks.isNotEmpty()) onStateChanged()
        }

        private fun tick() {
            val nowMillis = clock.monotonicMillis()
            if (blockInterval.waitMillis(nowMillis) == 0L) {
                blockInterval.recordRun(nowMillis)
                blockPrompts(nowMillis)
                blockRequests(nowMillis)
            }
            endedProcesses.check(shares.silentHolders(nowMillis))
            shares.tick(nowMillis)
            permits.tick()
            placement.tick(nowMillis)
            cloud?.tick(shares.holderNames + instance, nowMillis)
            fleetLoads.retain(state.serverObservations.keys)
        }
    }

    private companion object {
        /** Loads take 400 ms or more, so this is fast enough; urgent orders do not wait for it. */
        const val TICK_INTERVAL_MILLIS = 50L

        /** The streams that a large fleet begins within the lifetime of a record. */
        const val MAX_STREAMS = 65_536

        /** Enough that a third of the instances can be lost with the leader. */
        const val STREAM_KEEPERS = 6

        /** Another instance may be able to finish a round. */
        const val MAX_FAILED_ROUNDS = 3

        /** The analysis takes up to 10 ms when thousands of requests have lost their servers. */
        const val BLOCK_INTERVAL_MILLIS = 200L
    }
}
