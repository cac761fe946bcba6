package mustarddale.routing

import kotlinx.serialization.Serializable
import mustarddale.memory.HeldArtifact
import mustarddale.memory.ReportNumber

/**
 * The load and memory contents that an engine reports.
 *
 * @property running the number of requests in the batch.
 * @property waiting the number of requests queued for the batch.
 * @property batchSlots the maximum number of requests in the batch.
 * @property ready names of the artifacts that can serve requests now.
 * @property held artifacts that occupy memory, loaded or still loading.
 * @property appliedFence the fencing token of the last order that the engine accepted.
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
