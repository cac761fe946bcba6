package mustarddale.serving.backend

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet

/** Where a backend server listens. */
public data class BackendAddress(public val host: String, public val port: Int) {
    override fun toString(): String = "$host:$port"
}

/**
 * What a backend server says of itself in the platform's list.
 *
 * @property id names one run of the server; a restart mostly has another.
 * @property startUnixMillis the Unix time of its start, which tells two runs of one [id] apart.
 * @property coldRemainingMillis for how much longer it bears only a few requests.
 * @property drainRemainingMillis how long a leaving server still has, null if it does not say.
 * @property models the models that it holds, each with its adapters.
 * @property hostCachedModels models that it can load from its host memory.
 * @property diskCachedModels models that it can load from its own disk.
 * @property orderCount how many placement orders it has accepted since its start.
 */
public data class Backend(
    public val id: String,
    public val service: String,
    public val address: BackendAddress,
    public val failureDomain: String,
    public val slots: Int,
    public val isDraining: Boolean,
    public val drainRemainingMillis: Long?,
    public val coldRemainingMillis: Long,
    public val models: ImmutableMap<String, ImmutableSet<String>>,
    public val hostCachedModels: ImmutableSet<String>,
    public val diskCachedModels: ImmutableSet<String>,
    public val orderCount: Long,
    public val startUnixMillis: Long?
) {
    /** Whether the server holds [wanted]. */
    public fun holds(wanted: ModelRef): Boolean {
        val adapters = models[wanted.model] ?: return false
        return wanted.adapter == null || wanted.adapter in adapters
    }

    /** Whether [other] is the same run of the same server. */
    public fun isSameRun(other: Backend): Boolean =
        id == other.id && startUnixMillis == other.startUnixMillis && address == other.address
}

/** The model, and the adapter of it if any, that a request asks for. */
public data class ModelRef(public val model: String, public val adapter: String? = null) {
    override fun toString(): String = if (adapter == null) model else "$model/$adapter"
}
