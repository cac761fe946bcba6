package mustarddale.memory

import kotlinx.serialization.Serializable

/** The lifecycle state of an artifact on one engine. */
@Serializable
public enum class Residency {
    /** A load order may have been sent. */
    LOADING,

    /** A load report showed that the artifact occupies memory of the engine. */
    RESIDENT,

    /** An unload order may have been sent; the artifact gets no new requests. */
    UNLOADING,

    /** A load report showed no such artifact, but an earlier load order may still take effect. */
    UNRESOLVED
}

/**
 * Memory reserved for one artifact on one engine.
 *
 * @property memoryBytes the reserved bytes: the largest size configured at an order or reported.
 * @property openLoads log offsets of load orders whose outcome is unknown.
 * @property orderOffset log offset of the newest order, which is its fencing token; 0 if the
 *   artifact was only seen in a report.
 * @property orderedAtMillis log time of the newest order in milliseconds.
 * @property takenAfter the last report that the engine made before it accepted a load order; this
 *   report and earlier ones cannot show the effect of the order.
 */
@Serializable
public data class LedgerEntry(
    public val server: String,
    public val artifact: String,
    public val memoryBytes: Long,
    public val residency: Residency,
    public val openLoads: List<Long>,
    public val orderOffset: Long,
    public val orderedAtMillis: Long,
    public val takenAfter: ReportNumber? = null
)
