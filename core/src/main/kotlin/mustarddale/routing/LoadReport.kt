package mustarddale.routing

import kotlinx.serialization.Serializable
import mustarddale.memory.HeldArtifact
import mustarddale.memory.ReportNumber

/**
 * What an engine says of itself.
 *
 * @property running requests in its batch.
 * @property waiting requests behind the batch.
 * @property batchSlots how many requests its batch has room for.
 * @property ready artifacts that can serve at once.
 * @property held artifacts that take memory, ready ones and those being loaded.
 * @property appliedFence the number of the last order that it took.
 */
@Serializable
public data class LoadReport(
    public val server: String,
    public val number: ReportNumber,
    public val warmth: Warmth,
    public val running: Int,
    public val waiting: Int,
    public val batchSlots: Int,
    public val ready: List<String>,
    public val held: List<HeldArtifact>,
    public val appliedFence: Long
)
