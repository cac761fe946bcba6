package mustarddale.instance.operator

import kotlinx.serialization.Serializable
import mustarddale.config.Configuration
import mustarddale.config.ConfigurationChange
import mustarddale.config.Fault

/** The configuration that is in force, with its revision. */
@Serializable
public data class ConfigurationAnswer(
    public val revision: Long,
    public val configuration: Configuration
)

/** A wish to change the configuration; [baseRevision] is the one that the operator has seen. */
@Serializable
public data class ChangeRequest(
    public val change: ConfigurationChange,
    public val baseRevision: Long? = null
)

/** What is wrong with a document, and what it would change if it were submitted. */
@Serializable
public data class CheckAnswer(public val faults: List<Fault>, public val difference: List<String>)

/** The change was accepted and made [revision]. */
@Serializable
public data class ChangeAnswer(public val revision: Long)

/** What one instance sees. */
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

/** What one instance sees of a backend server. */
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
