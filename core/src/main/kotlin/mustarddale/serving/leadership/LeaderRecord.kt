package mustarddale.serving.leadership

import kotlinx.serialization.Serializable
import mustarddale.serving.quota.ShareHolder

/**
 * One record of the leadership log: its writer leads from the record on.
 *
 * @property run names the writer's process, which a restart replaces.
 * @property term the offset of the first record of this leadership; negative in that record itself.
 * @property isResigning whether the writer has stopped leading.
 * @property lastOrder the newest order to an engine that the writer knows of, its own or an earlier
 *   leader's; null if there was none.
 * @property shareHolders instances that may hold shares granted in this term or before.
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
    public val shareHolders: List<ShareHolder> = emptyList()
) {
    public companion object {
        /** The term of a record whose offset is not known yet. */
        public const val UNKNOWN_TERM: Long = -1
    }
}
