/*
 * The operators' configuration of the serving path: routes, services, client accounts and limits. A
 * request is handled under one version of it from start to end.
 */
package mustarddale.serving.config

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableMap
import mustarddale.serving.scaling.ScalingSpec

/** One version of the operators' configuration. */
public data class ServingConfiguration(
    public val version: Long,
    public val routes: ImmutableList<RouteConfig>,
    public val services: ImmutableMap<String, ServiceConfig>,
    public val accounts: ImmutableMap<String, AccountConfig>,
    public val limits: CallerLimits
) {
    private val accountsByKey: Map<String, AccountConfig> =
        accounts.values.flatMap { account -> account.keys.map { it to account } }.toMap()

    /** Whether any client account exists; without accounts, requests need no API key. */
    public val hasAccounts: Boolean get() = accounts.isNotEmpty()

    /** The mean rate of the accounts that have one, null if none has. */
    public val meanTokensPerSecond: Double? =
        accounts.values.mapNotNull { it.tokensPerSecond }.takeIf { it.isNotEmpty() }?.average()

    /** Returns the account that the API key [key] belongs to, null if there is none. */
    public fun accountOf(key: String): AccountConfig? = accountsByKey[key]
}

/** How often a request may run at backend servers. */
public enum class Repeatability {
    /** The request may run any number of times. */
    IDEMPOTENT,

    /** The request may run at most once. */
    ONCE,

    /** The response is a stream that another backend server can resume after the last event. */
    RESUMABLE
}

/** A service and its weight in the distribution of a route's requests. */
public data class WeightedService(public val service: String, public val weight: Int)

/**
 * Sends requests for a host and path prefix to services.
 *
 * @property pathPrefix begins and ends with a slash.
 * @property isStream whether responses are event streams that are relayed event by event.
 * @property timeoutMillis the maximum duration of a request.
 * @property latencyTargetMillis the target for the time to a response or, in a stream, to its first
 *   event.
 * @property maxEventGapMillis the longest acceptable pause between two events, null for no limit.
 * @property callerTimeoutMillis how long callers wait for the first event, or between two events,
 *   before they disconnect; null if only the deadline in their request applies.
 * @property priority 0 is the most urgent.
 * @property maxAttempts the maximum number of backend servers that may run one request.
 * @property allowsAnonymous whether requests without a valid API key are accepted.
 */
public data class RouteConfig(
    public val name: String,
    public val host: String,
    public val pathPrefix: String,
    public val services: ImmutableList<WeightedService>,
    public val repeatability: Repeatability,
    public val isStream: Boolean,
    public val timeoutMillis: Long,
    public val latencyTargetMillis: Long,
    public val maxEventGapMillis: Long?,
    public val callerTimeoutMillis: Long?,
    public val priority: Int,
    public val maxAttempts: Int,
    public val allowsAnonymous: Boolean
)

/**
 * A service that is provided by backend servers.
 *
 * @property healthPath the path of the backend servers' health check.
 * @property coldRequestsPerSecond the rate that a backend server can handle while it is cold, that
 *   is shortly after its start; null for no limit.
 * @property engine set if the backend servers are model engines.
 * @property scaling the limits of the number of servers that the leader orders, null if it orders
 *   none.
 */
public data class ServiceConfig(
    public val name: String,
    public val healthPath: String,
    public val maxConnections: Int,
    public val coldRequestsPerSecond: Double?,
    public val engine: EngineSpec?,
    public val scaling: ScalingSpec? = null
)

/**
 * The capacity of each model engine of a service.
 *
 * @property slots the number of requests that an engine runs at the same time.
 * @property kvCacheTokens the size of the key-value cache of an engine.
 * @property memoryMegabytes the memory for loaded models and adapters.
 * @property hostCacheMegabytes the host memory in which weights are cached.
 * @property diskCacheMegabytes the disk space in which weights are cached.
 * @property adapterSlots the maximum number of loaded adapters.
 * @property loadsPerSecond the rate of loads that the weight store sustains for all engines
 *   together; the weight store holds the weights of all models.
 * @property removedModels models of earlier configurations, which engines may still hold or load.
 */
public data class EngineSpec(
    public val slots: Int,
    public val kvCacheTokens: Long,
    public val memoryMegabytes: Double,
    public val hostCacheMegabytes: Double,
    public val diskCacheMegabytes: Double,
    public val adapterSlots: Int,
    public val loadsPerSecond: Double,
    public val models: ImmutableMap<String, ModelSpec>,
    public val removedModels: ImmutableMap<String, ModelSpec> = persistentMapOf()
) {
    /** The size of the largest model, 0 if there are no models. */
    public val maxModelMegabytes: Double =
        (models.values + removedModels.values).maxOfOrNull { it.sizeMegabytes } ?: 0.0

    /** The longest load of a model from the weight store, 0 if there are no models. */
    public val maxStoreLoadMillis: Long =
        (models.values + removedModels.values).maxOfOrNull { it.storeLoadMillis } ?: 0

    /** The size of the largest adapter, 0 if there are no models. */
    public val maxAdapterMegabytes: Double =
        models.values.maxOfOrNull { it.adapterMegabytes } ?: 0.0

    /** Returns the model [name], also if it has been removed, null if it is not known. */
    public fun modelOf(name: String): ModelSpec? = models[name] ?: removedModels[name]

    /** Returns this specification with the models of [previous] that it lacks as removed ones. */
    public fun withRemovedModelsOf(previous: EngineSpec): EngineSpec = copy(
        removedModels = (previous.removedModels + previous.models)
            .filterKeys { it !in models }
            .toImmutableMap()
    )
}

/**
 * A model and its requirements.
 *
 * @property hostLoadMillis the duration of a load from the engine's host memory.
 * @property diskLoadMillis the duration of a load from the engine's disk.
 * @property storeLoadMillis the duration of a load from the weight store.
 * @property adapterMegabytes the size of one adapter of the model.
 */
public data class ModelSpec(
    public val name: String,
    public val sizeMegabytes: Double,
    public val hostLoadMillis: Long,
    public val diskLoadMillis: Long,
    public val storeLoadMillis: Long,
    public val adapterMegabytes: Double
)

/**
 * A client account.
 *
 * @property keys the API keys of the account.
 * @property priority overrides the route's priority; null if the account has none.
 * @property tokensPerSecond the rate limit over all instances, null for no limit.
 * @property burstTokens the burst that is allowed on top of the rate, over all instances.
 * @property defaultRequestTokens the tokens charged for a request that does not state its own.
 * @property hasUsableName whether the name can be sent to backend servers; if not, requests of the
 *   account are refused.
 */
public data class AccountConfig(
    public val name: String,
    public val keys: ImmutableSet<String>,
    public val priority: Int?,
    public val tokensPerSecond: Double?,
    public val burstTokens: Double,
    public val defaultRequestTokens: Double,
    public val hasUsableName: Boolean = true
)

/** Limits on the size and the duration of callers' requests. */
public data class CallerLimits(
    public val maxHeaderBytes: Int,
    public val maxBodyBytes: Long,
    public val headerTimeoutMillis: Long,
    public val idleTimeoutMillis: Long
)
