/*
 * What one instance is told when it starts, decoded from the platform's settings: its addresses and
 * the bounds that the platform's operators have agreed with their users.
 */
package mustarddale.instance.serving.settings

import mustarddale.serving.backend.BackendAddress
import mustarddale.serving.retry.RetryLimits

/**
 * The settings of one serving instance.
 *
 * @property instance the machine's name, which stays when the process is replaced.
 * @property coldRateFactor by how much the rate of a cold server may be exceeded within one second.
 * @property coldExtraRequests what is added to that bound.
 * @property quotaSlackTokens by how much an account's use in one window may exceed its limit.
 * @property termGraceMillis how long a process lives after SIGTERM.
 * @property orderLeaseMillis the time that must lie between the orders of two leaders.
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
    public val coldRateFactor: Double,
    public val coldExtraRequests: Double,
    public val retryLimits: RetryLimits,
    public val quotaSlackTokens: Double,
    public val termGraceMillis: Long,
    public val orderLeaseMillis: Long
)
