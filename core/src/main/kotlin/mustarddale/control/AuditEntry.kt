package mustarddale.control

import kotlinx.serialization.Serializable
import mustarddale.config.ConfigurationChange

/**
 * One change of the configuration that was asked for.
 *
 * @property revision the revision that it made, null if it was refused.
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
        private const val DIGEST_SHOWN = 12

        /** Describes [change] in one line, without its contents. */
        public fun summary(change: ConfigurationChange): String = when (change) {
            is ConfigurationChange.Replace -> "replace the document"

            is ConfigurationChange.IssueKey ->
                "issue key ${change.key.name} to ${change.account}"

            is ConfigurationChange.WithdrawKey ->
                "withdraw key ${change.sha256.take(DIGEST_SHOWN)}"

            is ConfigurationChange.SetDomain ->
                "set failure domain ${change.domain} ${change.state}"

            is ConfigurationChange.SetServer ->
                "set backend server ${change.server} ${change.state}"
        }
    }
}
