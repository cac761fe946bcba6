package mustarddale.serving.leadership

import kotlinx.serialization.Serializable
import mustarddale.serving.crash.RequestVerdict
import mustarddale.serving.quota.ShareHolder
import mustarddale.serving.scaling.DesiredEngines
import mustarddale.serving.usage.UsageRecord
import mustarddale.serving.version.ServiceVersions

/**
 * A record of the leadership log, by which its writer starts, renews or ends its leadership.
 *
 * @property instance the name of the writer.
 * @property run identifies the writer's process; a restart changes it.
 * @property host the host at which other instances reach the leader.
 * @property port the port at which other instances reach the leader.
 * @property term the term of this leadership; [UNKNOWN_TERM] in its first record.
 * @property isResigning whether the writer has stopped leading.
 * @property lastOrder the newest known order to an engine, by the writer or an earlier leader; null
 *   if there is none.
 * @property shareHolders the instances that may hold shares granted in this term or before.
 * @property era the era of the log in which the record was written.
 * @property requestVerdicts the requests that crash servers, or may.
 * @property mixedServices the services that have lately had several software versions.
 * @property usage the usage figures that may have been sent, null without usage reports.
 * @property lastCall the newest known call to the platform, by the writer or an earlier leader.
 * @property desiredEngines the engine counts that may have been ordered.
 */
@Serializable
public data class LeaderRecord(
    public val instance: String,
    public val run: String,
    public val host: String,
    public val port: Int,
    public val term: Long = UNKNOWN_TERM,
    public val isResigning: Boolean = false,
    public val lastOrder: LastOrder? = null,
    public val shareHolders: List<ShareHolder> = emptyList(),
    public val era: Long = 0,
    public val requestVerdicts: List<RequestVerdict> = emptyList(),
    public val mixedServices: List<ServiceVersions> = emptyList(),
    public val usage: UsageRecord? = null,
    public val lastCall: LastOrder? = null,
    public val desiredEngines: List<DesiredEngines> = emptyList()
) {
    public companion object {
        /** The term in the first record of a leadership, whose offset is not known in advance. */
        public const val UNKNOWN_TERM: Long = -1

        private const val OFFSET_BITS = 40

        /** Returns the era in which [term] began. */
        public fun eraOf(term: Long): Long = term shr OFFSET_BITS

        /** Returns the term whose first record is at [offset] of [era]; terms rise with both. */
        public fun termOf(era: Long, offset: Long): Long = (era shl OFFSET_BITS) + offset
    }
}
