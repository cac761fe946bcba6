/*
 * The member side of the connection to the leader: builds this instance's reports and applies the
 * state that the leader sends. The leader's own instance is a member too. Runs on the event loop.
 */
package mustarddale.instance.serving.leader

import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.feed.KeyedFeed
import mustarddale.instance.serving.feed.RelayedRecords
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.backend.ServerObservations
import mustarddale.serving.leadership.InstanceAddress
import mustarddale.serving.leadership.LeaderRecord
import mustarddale.serving.limit.RotationPlace
import mustarddale.serving.path.RelayPeer
import mustarddale.serving.quota.EffectiveShares
import mustarddale.serving.version.VersionedStreams
import mustarddale.time.Clock

/**
 * Reports for this instance to the leader, and applies the leader's messages to [state].
 *
 * @param backends the feed of the backend server list, which takes records from the leader.
 * @param self the id and address of this process.
 * @param relayPeer how other instances send it requests.
 */
public class MemberAgent(
    private val state: ServingState,
    private val backends: KeyedFeed,
    private val self: LeaderRecord,
    private val relayPeer: RelayPeer,
    private val clock: Clock
) {
    /** The term of the leader whose state was applied last. */
    private var term = NO_TERM
    private var sharesRevision = 0L
    private var shares = emptyMap<String, Double>()
    private var shareTotal = 1.0

    /** When the leader sent the state that was applied last, on its own clock. */
    private var leaderSentMillis: Long? = null
    private val effectiveShares = EffectiveShares()
    private var sharesExpireAtMillis = Long.MIN_VALUE

    /** When each report was sent, by its number. */
    private val sentMillis = LinkedHashMap<Long, Long>()
    private var lastReportNumber = 0L

    /** The first report that goes to the current leader, with what only new leaders need. */
    private var firstReportNumber = 1L
    private var isKnownToLeader = false

    /** Builds the next report and resets the demand that is counted for it. */
    public fun nextReport(): LeaderMessage.Report {
        lastReportNumber++
        sentMillis[lastReportNumber] = clock.monotonicMillis()
        while (sentMillis.size > MAX_PENDING_REPORTS) sentMillis.remove(sentMillis.keys.first())
        val answers = state.promptObservations.takeAnswers()
        return LeaderMessage.Report(
            instance = self.instance,
            run = self.run,
            number = lastReportNumber,
            term = term,
            confirmedRevision = sharesRevision,
            shares = shares,
            wantedTokens = state.quota.takeDemand(),
            backendOffset = backends.offset,
            backendEra = backends.era,
            heardMillis = leaderSentMillis,
            demand = state.takeDemand().map { (service, samples) ->
                ServiceDemand(
                    service,
                    samples.map {
                        ModelSample(
                            it.target.model,
                            it.target.adapter,
                            it.requests,
                            it.tokens,
                            it.waiting,
                            it.completed,
                            it.slotMillis
                        )
                    }
                )
            },
            promptAnswers = answers.requests,
            answeredParts = answers.parts,
            crashSuspects = state.promptObservations.takeSuspects(),
            promptBlocks = state.promptBlocks.current(),
            answeredSuspects = state.suspectedRequests.takeAnswered(),
            endedTrials = state.suspectedRequests.takeEndedTrials(),
            servingServers = state.suspectedRequests.takeServingServers(),
            requestVerdicts = state.suspectedRequests.current(),
            streams = state.streamVersions.takeUnreported(),
            serverLimits = state.limits.known(),
            limitObservations = state.limits.takeObservations(),
            leavingServers = state.notices.leavingRuns,
            address = InstanceAddress(self.host, self.port).takeUnless { isKnownToLeader },
            relayPeer = relayPeer.takeUnless { isKnownToLeader },
            cutOffServices = state.paths.cutOffServices.toSet(),
            needsRelay =
            state.paths.shortServices.isNotEmpty() || state.relayPeers.isRenewalDue(),
            usage = state.usage?.report(lastReportNumber),
            serviceLoads = state.takeServiceLoads(),
            serverObservations = state.serverObservations.take()?.let { RecordBytes(it.encode()) }
        )
    }

    /** Handles a new connection to the leader, which may lack reports sent over an earlier one. */
    public fun handleConnected() {
        state.streamVersions.forgetReports()
        state.usage?.forgetReports()
        firstReportNumber = lastReportNumber + 1
        isKnownToLeader = false
    }

    /** Returns the streams whose versions the leader may not know, once. */
    public fun takeUnreportedStreams(): List<VersionedStreams> =
        state.streamVersions.takeUnreported()

    /** Applies the leader's [message], unless it is from an earlier term. */
    public fun apply(message: LeaderMessage.State) {
        if (message.term < term) return
        val nowMillis = clock.monotonicMillis()
        val isNewLeader = message.term > term
        if (isNewLeader) {
            state.residency.clear()
            state.limits.forgetLeader()
            term = message.term
            sharesRevision = 0
            firstReportNumber = lastReportNumber + 1
            state.promptObservations.forgetReports()
            state.streamVersions.forgetReports()
            state.usage?.forgetReports()
        }
        message.usage?.let { state.usage?.confirm(it) }
        isKnownToLeader = message.answers >= firstReportNumber
        state.relayPeers.update(message.relayPeers, state.paths.shortServices.isNotEmpty())
        leaderSentMillis = message.sentMillis
        effectiveShares.onLeaderMessage(nowMillis)
        state.residency.recordLeaderContact(nowMillis)
        message.backends?.let { news ->
            val records = news.records.map { it.bytes }
            backends.applyRelayed(
                RelayedRecords(
                    news.fromOffset,
                    records,
                    news.ageMillis,
                    news.era,
                    notBeforeMillis = sentMillis[message.answers]
                )
            )
        }
        state.notices.markLeaving(message.leavingServers)
        message.engines.forEach { engine ->
            val expectedAtMillis = engine.expected.mapValues { nowMillis + it.value }
            state.residency.update(engine.engine, engine.models, expectedAtMillis)
        }
        message.serverObservations?.let {
            state.serverObservations.apply(ServerObservations.decode(it.bytes))
        }
        state.promptBlocks.update(message.promptBlocks)
        state.streamVersions.recordTold(message.mixedServices)
        state.streamVersions.keep(message.streams)
        message.requestVerdicts?.let { state.suspectedRequests.update(it) }
        state.instanceCount = message.instances.coerceAtLeast(1)
        state.limits.update(message.serverLimits, sentMillis[message.answers])
        state.limits.rotation.onLeaderMessage(
            RotationPlace(message.rank, message.instances.coerceAtLeast(1)),
            message.sentMillis,
            isNewLeader,
            nowMillis
        )
        applyShares(message, nowMillis)
        if (message.engines.isNotEmpty()) state.wakeModelWaiters()
    }

    /** Handles the message of the leader of [endedTerm] that it is no longer the leader. */
    public fun handleLeadershipEnded(endedTerm: Long?) {
        if (endedTerm != term) return
        effectiveShares.onLeadershipEnded()
        updateQuota(clock.monotonicMillis())
    }

    private fun applyShares(message: LeaderMessage.State, nowMillis: Long) {
        val reportedAtMillis = sentMillis[message.answers]
        if (reportedAtMillis == null || message.revision == 0L) {
            updateQuota(nowMillis)
            return
        }
        sharesExpireAtMillis =
            maxOf(sharesExpireAtMillis, reportedAtMillis + message.shareLeaseMillis)
        sharesRevision = message.revision
        shares = message.shares
        shareTotal = message.shareTotal
        updateQuota(nowMillis)
    }

    /** Refills the accounts' token buckets and drops shares whose lease has expired. */
    public fun tick() {
        val nowMillis = clock.monotonicMillis()
        if (shares.isNotEmpty() && nowMillis >= sharesExpireAtMillis) {
            DecisionLog.record("shares_lapsed", "term" to term, "revision" to sharesRevision)
            shares = emptyMap()
        }
        updateQuota(nowMillis)
    }

    private fun updateQuota(nowMillis: Long) {
        val accounts = state.configuration?.accounts?.values.orEmpty()
        val wasLeaderless = effectiveShares.isLeaderless
        val sharesInForce = effectiveShares.compute(shares, shareTotal, nowMillis)
        if (effectiveShares.isLeaderless && !wasLeaderless) {
            DecisionLog.record("shares_without_leader", "term" to term, "total" to shareTotal)
            state.limits.rotation.onLeaderLost(nowMillis)
        }
        state.quota.setShares(sharesInForce, accounts, nowMillis)
        if (sharesInForce.isNotEmpty() && state.configuration != null) state.startupGate.open()
    }

    private companion object {
        const val NO_TERM = -1L

        /** The reports whose answers may still arrive; the send times of older ones are dropped. */
        const val MAX_PENDING_REPORTS = 64
    }
}
