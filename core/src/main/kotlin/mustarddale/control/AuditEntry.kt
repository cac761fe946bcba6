package mustarddale.control

import kotlinx.serialization.Serializable
import mustarddale.config.ConfigurationChange

/**
 * A requested configuration change, accepted or refused.
 *
 * @property offset log offset of the request.
 * @property atMillis log time of the request in milliseconds.
 * @property revision the revision that the change created, null if it was refused.
 * @property change a one-line summary without the document or full key digests.
 * @property refusedBecause the reason for the refusal, null if the change was accepted.
 */
@Serializable
public data class AuditEntry(
    public val offset: Long,
    public val atMillis: Long,
    public val operator: String,
    public val instance: String,
    public val baseRevision: Long?,
    public val revision: Long?,
    public val change: String,
    public val refusedBecause: String?
) {
    public companion object {
        private const val DIGEST_PREFIX_CHARS = 12

        /** Summarizes [change] in one line, without the document or full key digests. */
        public fun summary(change: ConfigurationChange): String = when (change) {
            is ConfigurationChange.Replace -> "replace the document"

            is ConfigurationChange.IssueKey ->
                "issue key ${change.key.name} to ${change.account}"

            is ConfigurationChange.WithdrawKey ->
                "withdraw key ${change.sha256.take(DIGEST_PREFIX_CHARS)}"

            is ConfigurationChange.SetDomain ->
                "set failure domain ${change.domain} ${change.state}"

            is ConfigurationChange.SetServer ->
                "set backend server ${change.server} ${change.state}"
        }
    }
}
