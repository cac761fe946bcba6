package mustarddale.instance.operator

import kotlinx.serialization.Serializable
import mustarddale.config.Configuration
import mustarddale.config.ConfigurationChange
import mustarddale.config.Fault

/** The configuration in force and its revision. */
@Serializable
public data class ConfigurationAnswer(
    public val revision: Long,
    public val configuration: Configuration
)

/**
 * A requested change of the configuration.
 *
 * @property baseRevision the revision that the change is based on, null if it fits any revision.
 */
@Serializable
public data class ChangeRequest(
    public val change: ConfigurationChange,
    public val baseRevision: Long? = null
)

/** The faults of a configuration document, and the changes that submitting it would make. */
@Serializable
public data class CheckAnswer(public val faults: List<Fault>, public val difference: List<String>)

/** The response to an accepted change, which created the revision [revision]. */
@Serializable
public data class ChangeAnswer(public val revision: Long)

/**
 * The status of one instance.
 *
 * @property isReady whether the instance serves requests.
 * @property isFresh whether its configuration is recent enough to serve requests.
 * @property nextOffset the log offset of the next record to apply.
 * @property logAgeMillis the age of the newest evidence that the log was read to its end.
 * @property rateSlots how many slots of the divided rates the instance holds.
 */
@Serializable
public data class InstanceStatus(
    public val instance: String,
    public val isReady: Boolean,
    public val isFresh: Boolean,
    public val revision: Long,
    public val nextOffset: Long,
    public val logAgeMillis: Long,
    public val rateSlots: Int,
    public val peers: List<String>,
    public val servers: List<ServerStatus>
)

/**
 * The status of one backend server, as one instance knows it.
 *
 * @property inFlight requests that this instance has sent and that have not ended.
 * @property running requests in the batch of the engine, by its last load report.
 * @property waiting requests behind that batch.
 * @property ready artifacts that can serve requests.
 * @property committedBytes the most memory that resident and ordered artifacts can take.
 * @property memoryBytes accelerator memory of the server, 0 if it is no engine.
 */
@Serializable
public data class ServerStatus(
    public val server: String,
    public val warmth: String,
    public val inFlight: Int,
    public val running: Int,
    public val waiting: Int,
    public val ready: List<String>,
    public val committedBytes: Long,
    public val memoryBytes: Long
)
