package mustarddale.serving.residency

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import mustarddale.serving.backend.ModelRef

/**
 * An engine's report on its state, which is some hundred milliseconds old when it arrives.
 *
 * @property models the loaded models, each with its loaded adapters.
 * @property loadingAdapters the adapters that are being loaded.
 * @property isBusy whether the engine is loading or unloading a model.
 * @property orderCount the number of orders accepted since the start of the engine.
 * @property running the number of requests that are running.
 * @property waiting the number of requests that wait for a slot.
 * @property hostCachedModels the models that the engine can load from its host memory.
 * @property diskCachedModels the models that the engine can load from its own disk.
 * @property isLeaving whether the engine shuts down and wants no new requests.
 */
public data class EngineReport(
    public val models: ImmutableMap<String, ImmutableSet<String>>,
    public val loadingAdapters: ImmutableSet<ModelRef>,
    public val isBusy: Boolean,
    public val orderCount: Long,
    public val running: Int,
    public val waiting: Int,
    public val hostCachedModels: ImmutableSet<String>,
    public val diskCachedModels: ImmutableSet<String>,
    public val isLeaving: Boolean = false
)

/** What an engine is ordered to do with a model or an adapter. */
public enum class OrderKind { LOAD, UNLOAD }

/**
 * An order to an engine to load or unload a model or an adapter.
 *
 * @property engine the ID of the engine.
 * @property target the model, or the adapter if one is named.
 * @property orderCount the precondition: the number of orders that the engine has accepted before.
 */
public data class EngineOrder(
    public val engine: String,
    public val kind: OrderKind,
    public val target: ModelRef,
    public val orderCount: Long
)

/** An engine's response to an order. */
public enum class OrderAnswer {
    /** The engine is executing the order. */
    ACCEPTED,

    /** The engine executed the order at once, or was already in the requested state. */
    DONE,

    /** The engine is busy, or has accepted other orders in the meantime. */
    CONFLICT,

    /** The engine has seen a newer fencing token, so another instance leads. */
    FENCED,

    /** The engine refused the order for another reason. */
    REFUSED,

    /** The outcome is unknown: the engine may have accepted the order, or may still accept it. */
    UNKNOWN
}
