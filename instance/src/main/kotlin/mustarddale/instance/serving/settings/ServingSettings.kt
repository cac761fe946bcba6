/*
 * The settings of one instance, decoded from the platform's settings: its addresses and the limits
 * that the platform's operators have agreed with their users.
 */
package mustarddale.instance.serving.settings

import mustarddale.serving.backend.BackendAddress
import mustarddale.serving.connection.ConnectionLimits
import mustarddale.serving.retry.RetryLimits
import mustarddale.serving.usage.UsageTimes

/**
 * The settings of one serving instance.
 *
 * @property instance the instance's name, which stays the same when its process is replaced.
 * @property readyPort the port of the readiness check.
 * @property peerPort the port for connections of other instances.
 * @property quotaSlackTokens by how much an account's use in one window may exceed its limit.
 * @property termGraceMillis the time between SIGTERM and the kill of the process.
 * @property bufferBytes the most that the instance holds of requests and responses.
 * @property orderLeaseMillis the minimum time between orders of two successive leaders to engines.
 * @property cloud the calls to the platform that the leader makes, null for none.
 * @property connectionLimits what the connections of clients may make the process hold.
 * @property configApplyMillis the time after which an acknowledged configuration is in force.
 */
public data class ServingSettings(
    public val instance: String,
    public val host: String,
    public val failureDomain: String,
    public val callerPort: Int,
    public val readyPort: Int,
    public val peerPort: Int,
    public val metricsPort: Int,
    public val store: BackendAddress,
    public val retryLimits: RetryLimits,
    public val quotaSlackTokens: Double,
    public val termGraceMillis: Long,
    public val bufferBytes: Long,
    public val orderLeaseMillis: Long,
    public val cloud: CloudSettings? = null,
    public val connectionLimits: ConnectionLimits = ConnectionLimits(),
    public val configApplyMillis: Long = 2_000
) {
    /** The port that takes requests of other instances; callers can't reach it. */
    public val relayPort: Int get() = metricsPort
}

/** A kind of call to the platform that the leader makes. */
public enum class CloudDuty {
    /** Reports of the requests of each client account. */
    USAGE,

    /** Orders for the number of engines. */
    AUTOSCALE
}

/**
 * The calls to the platform that the leader makes; changes take effect at a restart.
 *
 * @property callsPerSecond the rate that the platform accepts from all instances together.
 * @property usageTolerance by which part a usage figure may differ from the truth.
 * @property requiresFence whether the platform checks fencing tokens.
 */
public data class CloudSettings(
    public val address: BackendAddress,
    public val duties: Set<CloudDuty>,
    public val callsPerSecond: Double,
    public val usageTimes: UsageTimes,
    public val usageTolerance: Double,
    public val requiresFence: Boolean
) {
    /** Whether the leader has [duty]. */
    public fun has(duty: CloudDuty): Boolean = duty in duties
}
