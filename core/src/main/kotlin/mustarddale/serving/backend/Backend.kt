package mustarddale.serving.backend

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet

/** The host and port of a backend server. */
public data class BackendAddress(public val host: String, public val port: Int) {
    override fun toString(): String = "$host:$port"
}

/**
 * A backend server as it describes itself in the platform's list.
 *
 * @property id identifies one run of the server; a restarted server usually has another.
 * @property version the version of the server's software.
 * @property slots the number of requests that the server runs at the same time.
 * @property isDraining whether the server is shutting down and accepts no new requests.
 * @property drainRemainingMillis the time until a draining server stops, null if not stated.
 * @property coldRemainingMillis the time until the server can handle more than a few requests.
 * @property models the loaded models, each with its loaded adapters.
 * @property hostCachedModels the models that the server can load from its host memory.
 * @property diskCachedModels the models that the server can load from its own disk.
 * @property orderCount the number of load and unload orders accepted since the start.
 * @property startUnixMillis the Unix time of the start, which distinguishes two runs with the same
 *   [id]; null if not stated.
 */
public data class Backend(
    public val id: String,
    public val service: String,
    public val address: BackendAddress,
    public val failureDomain: String,
    public val version: String,
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
    /** Whether the model and the adapter of [wanted] are loaded. */
    public fun holds(wanted: ModelRef): Boolean {
        val adapters = models[wanted.model] ?: return false
        return wanted.adapter == null || wanted.adapter in adapters
    }

    /** Identifies this run of the server, as [isSameRun] does. */
    public val run: String get() = "$id@$address@$startUnixMillis"

    /** Whether [other] describes the same run of the same server, possibly in another state. */
    public fun isSameRun(other: Backend): Boolean =
        id == other.id && startUnixMillis == other.startUnixMillis && address == other.address
}

/** The name of a model, with the name of an adapter if one is used on top of it. */
public data class ModelRef(public val model: String, public val adapter: String? = null) {
    override fun toString(): String = if (adapter == null) model else "$model/$adapter"
}
