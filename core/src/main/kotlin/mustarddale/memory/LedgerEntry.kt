package mustarddale.memory

import kotlinx.serialization.Serializable

/** How far an artifact is in its life on one engine. */
@Serializable
public enum class Residency {
    /** A load order may have been sent. */
    LOADING,

    /** A report showed that the engine holds memory for it. */
    RESIDENT,

    /** An unload order may have been sent; it gets no new requests. */
    UNLOADING,

    /** It was seen unloaded, but an earlier load order may still land. */
    UNRESOLVED
}

/**
 * One artifact that counts on one engine.
 *
 * @property memoryBytes what it takes, as configured when it was ordered or first seen.
 * @property openLoads offsets of load orders whose message has no known outcome.
 * @property orderOffset offset of the newest order, which is its fencing number.
 * @property orderedAtMillis when the log took the newest order.
 * @property takenAfter the last report before the engine took a load order; that report and those
 *   before it do not show what became of the order.
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
