/*
 * Protocol between instances and their leader: CBOR frames over one connection from each instance
 * to the leader. Instances that do not lead exchange no messages, so traffic grows linearly with
 * the number of instances, not quadratically.
 */
package mustarddale.instance.serving.leader

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import mustarddale.serving.crash.RequestVerdict
import mustarddale.serving.leadership.InstanceAddress
import mustarddale.serving.limit.LimitObservation
import mustarddale.serving.limit.ServerLimit
import mustarddale.serving.path.RelayPeer
import mustarddale.serving.prompt.CrashSuspect
import mustarddale.serving.prompt.PromptBlock
import mustarddale.serving.scaling.ServiceLoad
import mustarddale.serving.usage.UsageCounts
import mustarddale.serving.usage.UsageProgress
import mustarddale.serving.version.ServiceVersions
import mustarddale.serving.version.VersionedStreams

/** A message between an instance and the leader. */
@Serializable
public sealed interface LeaderMessage {
    /**
     * The periodic report of an instance to its leader.
     *
     * @property run the id of the instance's process, which a restart replaces.
     * @property number the sequence number of this report; [State.answers] refers to it.
     * @property term the term of the leader that granted the shares in force.
     * @property confirmedRevision the revision of the shares in force.
     * @property shares the fraction of each client account's rate that this instance uses.
     * @property wantedTokens tokens requested of each client account since the last report.
     * @property backendOffset the offset after the last known record of the backend server list.
     * @property backendEra the log's era in which [backendOffset] is valid.
     * @property heardMillis the [State.sentMillis] of the newest state applied in [term], null if
     *   there was none.
     * @property promptAnswers requests answered since the last report.
     * @property answeredParts the parts of their prompts.
     * @property crashSuspects requests that were unanswered when their server was lost.
     * @property promptBlocks the blocks that this instance knows of.
     * @property answeredSuspects digests of suspected requests answered since the last report.
     * @property endedTrials suspected requests whose trials ended without an answer or a loss.
     * @property servingServers servers that were lost and have responded since the last report.
     * @property requestVerdicts the verdicts on requests that this instance knows of.
     * @property streams streams whose versions the leader may not know.
     * @property serverLimits the limits that servers have set, as this instance knows them.
     * @property limitObservations what it has learned of them since the last report.
     * @property leavingServers the runs of the servers that leave, as this instance knows them.
     * @property address where this process listens, null if the leader knows it.
     * @property relayPeer how other instances reach this one, null if the leader knows it.
     * @property cutOffServices the services of which this instance reaches no server.
     * @property needsRelay whether it needs others to reach servers.
     * @property usage the requests that servers began for this instance, null if not counted.
     * @property serviceLoads the requests of the services whose engines the leader counts.
     * @property serverObservations what it has seen of servers since the last report, as encoded by
     *   [mustarddale.serving.backend.ServerObservations]; null if nothing.
     */
    @Serializable
    @SerialName("report")
    public data class Report(
        public val instance: String,
        public val run: String,
        public val number: Long,
        public val term: Long,
        public val confirmedRevision: Long,
        public val shares: Map<String, Double>,
        public val wantedTokens: Map<String, Double>,
        public val backendOffset: Long?,
        public val backendEra: Long = 0,
        public val heardMillis: Long?,
        public val demand: List<ServiceDemand>,
        public val promptAnswers: Int = 0,
        public val answeredParts: Set<String> = emptySet(),
        public val crashSuspects: List<CrashSuspect> = emptyList(),
        public val promptBlocks: List<PromptBlock> = emptyList(),
        public val answeredSuspects: Set<String> = emptySet(),
        public val endedTrials: Set<String> = emptySet(),
        public val servingServers: Set<String> = emptySet(),
        public val requestVerdicts: List<RequestVerdict> = emptyList(),
        public val streams: List<VersionedStreams> = emptyList(),
        public val serverLimits: List<ServerLimit> = emptyList(),
        public val limitObservations: List<LimitObservation> = emptyList(),
        public val leavingServers: Set<String> = emptySet(),
        public val address: InstanceAddress? = null,
        public val relayPeer: RelayPeer? = null,
        public val cutOffServices: Set<String> = emptySet(),
        public val needsRelay: Boolean = false,
        public val usage: UsageCounts? = null,
        public val serviceLoads: List<ServiceLoad> = emptyList(),
        @SerialName("observed") public val serverObservations: RecordBytes? = null
    ) : LeaderMessage

    /**
     * The leader's response to a [Report], sent again when the leader's state changes.
     *
     * @property answers the number of the report that this responds to; the lease of [shares]
     *   starts when the instance sent that report.
     * @property sentMillis the send time on the leader's monotonic clock.
     * @property revision the revision of [shares], 0 if none have been granted.
     * @property shareTotal the sum of the shares that all instances may hold of one account.
     * @property instances the number of instances that may hold shares.
     * @property engines the engines whose contents have changed since the last message.
     * @property backends new records of the backend server list.
     * @property promptBlocks all blocks of requests by parts of their prompts.
     * @property requestVerdicts all verdicts on requests, null if they are as in the last message.
     * @property streams streams of all instances, for this instance to keep.
     * @property mixedServices the services that have lately had several software versions.
     * @property serverLimits all limits that servers have set.
     * @property leavingServers the runs of all servers that leave.
     * @property relayPeers instances that can relay requests of an instance that lacks servers.
     * @property rank the place of the instance among [instances] if there is no leader to ask.
     * @property logEnd the offset after the newest record of the leadership log.
     * @property usage the progress of usage reports, null if the leader makes none.
     * @property serverObservations what all instances have seen of servers since the last
     *   message, encoded as in [Report]; null if nothing.
     */
    @Serializable
    @SerialName("state")
    public data class State(
        public val term: Long,
        public val answers: Long,
        public val sentMillis: Long,
        public val revision: Long,
        public val shares: Map<String, Double>,
        public val shareTotal: Double,
        public val shareLeaseMillis: Long,
        public val instances: Int,
        public val engines: List<EngineContents>,
        public val backends: BackendNews? = null,
        public val promptBlocks: List<PromptBlock> = emptyList(),
        public val requestVerdicts: List<RequestVerdict>? = null,
        public val streams: List<VersionedStreams> = emptyList(),
        public val mixedServices: List<ServiceVersions> = emptyList(),
        public val serverLimits: List<ServerLimit> = emptyList(),
        public val rank: Int = 0,
        public val leavingServers: Set<String> = emptySet(),
        public val logEnd: Long? = null,
        public val relayPeers: List<RelayPeer> = emptyList(),
        public val usage: UsageProgress? = null,
        @SerialName("observed") public val serverObservations: RecordBytes? = null
    ) : LeaderMessage

    /** New streams of an instance whose versions matter, sent between its reports. */
    @Serializable
    @SerialName("streams-begun")
    public data class StreamsBegun(public val streams: List<VersionedStreams>) : LeaderMessage

    /** An instance's request for something that only the leader can grant. */
    @Serializable
    public sealed interface LoanRequest : LeaderMessage {
        /** The sequence number of the request at its instance. */
        public val number: Long
    }

    /** A request for [tokens] of [account] from the leader's pool. */
    @Serializable
    @SerialName("tokens-wanted")
    public data class TokensWanted(
        override val number: Long,
        public val account: String,
        public val tokens: Double
    ) : LoanRequest

    /**
     * A request for a permit to send one request to the server [backend] of [service].
     *
     * @property run the run of the server.
     * @property isCold whether the server is cold, so that the limit for cold servers applies.
     * @property requestsPerSecond the limit that the server itself has set, null for none.
     * @property maxDelayMillis how long the request can wait for its permit.
     */
    @Serializable
    @SerialName("permit-wanted")
    public data class PermitWanted(
        override val number: Long,
        public val service: String,
        public val backend: String,
        public val run: String,
        public val isCold: Boolean,
        public val requestsPerSecond: Double?,
        public val maxDelayMillis: Long
    ) : LoanRequest

    /** A request for a permit to send one blocked request, whose prompt has [parts]. */
    @Serializable
    @SerialName("probe-wanted")
    public data class ProbeWanted(override val number: Long, public val parts: List<String>) :
        LoanRequest

    /**
     * A request to send the suspected request [digest] to the server [run] of [service] once.
     *
     * @property run the run of the server.
     */
    @Serializable
    @SerialName("trial-wanted")
    public data class TrialWanted(
        override val number: Long,
        public val digest: String,
        public val service: String,
        public val run: String
    ) : LoanRequest

    /** A request for the version that began the stream of the request [stream]. */
    @Serializable
    @SerialName("version-wanted")
    public data class VersionWanted(override val number: Long, public val stream: String) :
        LoanRequest

    /**
     * Grants the [LoanRequest] with [number] if [waitMillis] is 0, else says when to ask again.
     *
     * @property delayMillis the time until a granted permit becomes valid.
     * @property version the version of a stream, null if it is not known.
     */
    @Serializable
    @SerialName("loan-answer")
    public data class LoanAnswer(
        public val number: Long,
        public val waitMillis: Long,
        public val delayMillis: Long = 0,
        public val version: String? = null
    ) : LeaderMessage

    /** Tells an instance that the sender is not the leader. */
    @Serializable
    @SerialName("not-leading")
    public data object NotLeading : LeaderMessage
}

/** The demand for the models of [service] at one instance since its last report. */
@Serializable
public data class ServiceDemand(public val service: String, public val models: List<ModelSample>)

/**
 * The demand for a model, or for one adapter of it, since the last report.
 *
 * @property waiting the number of requests that wait until it is loaded.
 * @property completed the number of requests that engines have completed.
 * @property slotMillis the time for which these have taken a slot, in sum.
 */
@Serializable
public data class ModelSample(
    public val model: String,
    public val adapter: String?,
    public val requests: Int,
    public val tokens: Double,
    public val waiting: Int,
    public val completed: Int = 0,
    public val slotMillis: Long = 0
)

/**
 * The contents of one engine.
 *
 * @property models the models that can serve requests, each with its loaded adapters.
 * @property expected the models being or about to be loaded, with the estimated milliseconds left.
 */
@Serializable
public data class EngineContents(
    public val engine: String,
    public val models: Map<String, List<String>>,
    public val expected: Map<String, Long>
)

/** Records of the list from [fromOffset] on in the log's [era], as read [ageMillis] ago. */
@Serializable
public data class BackendNews(
    public val fromOffset: Long,
    public val records: List<RecordBytes>,
    public val ageMillis: Long,
    public val era: Long = 0
)

/** One record, encoded as a CBOR byte string instead of an array of numbers. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class RecordBytes(@ByteString public val bytes: ByteArray)
