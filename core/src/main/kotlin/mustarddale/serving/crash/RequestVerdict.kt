package mustarddale.serving.crash

import kotlinx.serialization.Serializable

/**
 * What is known of a request that may crash servers.
 *
 * @property digest identifies the request by its content and its client account.
 * @property isBlocked whether it may only be sent as a probe, else each attempt is a trial.
 * @property probesLeft the number of times that it may still be sent while it is blocked.
 * @property probeInMillis the time until the next probe.
 */
@Serializable
public data class RequestVerdict(
    public val digest: String,
    public val isBlocked: Boolean,
    public val probesLeft: Int,
    public val probeInMillis: Long
) {
    /** Whether the request must not be sent now. */
    public val forbidsSending: Boolean
        get() = isBlocked && (probesLeft == 0 || probeInMillis > 0)
}
