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
 * @property bornMillis the Unix time of its start, which tells two runs of one [id] apart.
 * @property coldMillis for how much longer it bears only a few requests.
 * @property remainingMillis how long a leaving server still has, null if it does not say.
 * @property models the models that it holds, each with its adapters.
 * @property hostCopies models that it can load from its host memory.
 * @property diskCopies models that it can load from its own disk.
 * @property orderCount how many placement orders it has accepted since its start.
 */
public data class Backend(
    public val id: String,
    public val service: String,
    public val address: BackendAddress,
    public val failureDomain: String,
    public val slots: Int,
    public val isDraining: Boolean,
    public val remainingMillis: Long?,
    public val coldMillis: Long,
    public val models: ImmutableMap<String, ImmutableSet<String>>,
    public val hostCopies: ImmutableSet<String>,
    public val diskCopies: ImmutableSet<String>,
    public val orderCount: Long,
    public val bornMillis: Long?
) {
    /** Whether the server holds [wanted]. */
    public fun holds(wanted: WantedModel): Boolean {
        val adapters = models[wanted.model] ?: return false
        return wanted.adapter == null || wanted.adapter in adapters
    }

    /** Whether [other] is the same run of the same server. */
    public fun isSameRun(other: Backend): Boolean =
        id == other.id && bornMillis == other.bornMillis && address == other.address
}

/** The model, and the adapter of it if any, that a request asks for. */
public data class WantedModel(public val model: String, public val adapter: String? = null) {
    override fun toString(): String = if (adapter == null) model else "$model/$adapter"
}
