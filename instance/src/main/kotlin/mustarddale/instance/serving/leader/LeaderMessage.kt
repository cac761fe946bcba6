/*
 * What instances and their leader tell each other, in CBOR frames over one connection from each
 * instance to the leader. Nothing is sent between other instances, so the number of messages grows
 * with the number of instances and not with its square.
 */
package mustarddale.instance.serving.leader

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** A message between an instance and the leader. */
@Serializable
public sealed interface LeaderMessage {
    /**
     * What an instance tells.
     *
     * @property number counts the reports of this connection.
     * @property backendOffset up to where the instance knows the list of backend servers.
     * @property term the leadership whose shares are in force, and [confirmedRevision] which.
     * @property heardMillis when the leader of [term] sent the newest state that was taken in, by
     *   its own clock; null if none was.
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
        public val heardMillis: Long?,
        public val demand: List<ServiceDemand>
    ) : LeaderMessage

    /**
     * What the leader tells.
     *
     * @property answers the number of the report that this answers; the lease of [shares] counts
     *   from when that was sent.
     * @property sentMillis when it was sent, by the leader's clock.
     * @property shareTotal what all shares of an account add up to.
     * @property backends what the leader has read of the list of backend servers.
     * @property engines what has changed at engines since the last message.
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
        public val backends: BackendNews? = null
    ) : LeaderMessage

    /** An instance asks for [tokens] of [account] out of the leader's pool. */
    @Serializable
    @SerialName("tokens-wanted")
    public data class TokensWanted(
        public val number: Long,
        public val account: String,
        public val tokens: Double
    ) : LeaderMessage

    /** The tokens are given if [waitMillis] is 0, else they may be there after that. */
    @Serializable
    @SerialName("tokens-given")
    public data class TokensGiven(public val number: Long, public val waitMillis: Long) :
        LeaderMessage

    /** The other end does not lead. */
    @Serializable
    @SerialName("not-leading")
    public data object NotLeading : LeaderMessage
}

/** The demand for one service's models at one instance. */
@Serializable
public data class ServiceDemand(public val service: String, public val models: List<ModelSample>)

/** The demand for one model or adapter since the last report. */
@Serializable
public data class ModelSample(
    public val model: String,
    public val adapter: String?,
    public val requests: Int,
    public val tokens: Double,
    public val waiting: Int
)

/**
 * The models of one engine that requests may be sent for, each with its adapters.
 *
 * @property expected the models on their way, with the milliseconds until each should be there.
 */
@Serializable
public data class EngineContents(
    public val engine: String,
    public val models: Map<String, List<String>>,
    public val expected: Map<String, Long>
)

/** Records of the list of backend servers, which the leader read [ageMillis] ago. */
@Serializable
public data class BackendNews(
    public val fromOffset: Long,
    public val records: List<RecordBytes>,
    public val ageMillis: Long
)

/** The bytes of one record. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class RecordBytes(@ByteString public val bytes: ByteArray)
