package mustarddale.serving.residency

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import mustarddale.serving.backend.ModelRef

/**
 * What an engine tells of itself when it is asked; the figures are some hundred milliseconds old.
 *
 * @property loadingAdapters adapters on their way to the engine.
 * @property isBusy whether it carries out an order on a model.
 * @property orderCount how many orders it had accepted since its start.
 */
public data class EngineReport(
    public val models: ImmutableMap<String, ImmutableSet<String>>,
    public val loadingAdapters: ImmutableSet<ModelRef>,
    public val isBusy: Boolean,
    public val orderCount: Long,
    public val running: Int,
    public val waiting: Int,
    public val hostCachedModels: ImmutableSet<String>,
    public val diskCachedModels: ImmutableSet<String>
)

/** What an order does. */
public enum class OrderKind { LOAD, UNLOAD }

/**
 * An order to an engine, which accepts it only while it has accepted [orderCount] orders before.
 */
public data class EngineOrder(
    public val engine: String,
    public val kind: OrderKind,
    public val target: ModelRef,
    public val orderCount: Long
)

/** How an engine answered an order. */
public enum class OrderAnswer {
    /** It carries the order out. */
    ACCEPTED,

    /** What the order asks for holds already, or was done at once. */
    DONE,

    /** It is busy, or has accepted other orders in the meantime. */
    CONFLICT,

    /** Another leader has given it orders. */
    FENCED,

    /** It refused for another reason and has not accepted the order. */
    REFUSED,

    /** Nothing is known: the order may have been accepted, or may be later. */
    UNKNOWN
}
