/*
 * What operators agree on for the serving path: which request goes to which service, for whom, and
 * within which limits. A request is handled under one version from its start to its end.
 */
package mustarddale.serving.config

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet

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

    /** Whether callers have to show a key at all. */
    public val hasAccounts: Boolean get() = accounts.isNotEmpty()

    /** Returns the account that holds [key], null if none does. */
    public fun accountOf(key: String): AccountConfig? = accountsByKey[key]
}

/** How often a request may run. */
public enum class Repeatability {
    /** The request may run any number of times. */
    IDEMPOTENT,

    /** The request may run at most once. */
    ONCE,

    /** A stream that another backend server may continue behind the last event. */
    RESUMABLE
}

/** A service and its part of a route's requests. */
public data class WeightedService(public val service: String, public val weight: Int)

/**
 * A route from callers to services.
 *
 * @property pathPrefix begins and ends with a slash.
 * @property isStream whether answers are events that are passed on one by one.
 * @property timeoutMillis the longest time that a request may be kept.
 * @property latencyTargetMillis the time within which an answer, or its first event, is on time.
 * @property maxEventGapMillis the longest pause between events, null if there is no bound.
 * @property callerTimeoutMillis how long callers wait for the first event or between two events before
 *   they leave, null if only their deadline counts.
 * @property priority 0 is the most urgent.
 * @property maxAttempts the most backend servers that one request may run on.
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
 * A service that backend servers provide.
 *
 * @property coldRequestsPerSecond what a backend server bears while it is cold, null for no bound.
 * @property engine set if the service's backend servers are model engines.
 */
public data class ServiceConfig(
    public val name: String,
    public val healthPath: String,
    public val maxConnections: Int,
    public val coldRequestsPerSecond: Double?,
    public val engine: EngineSpec?
)

/**
 * What each model engine of a service can hold.
 *
 * @property loadsPerSecond the rate of the weight store, over all engines.
 */
public data class EngineSpec(
    public val slots: Int,
    public val kvCacheTokens: Long,
    public val memoryMegabytes: Double,
    public val hostCacheMegabytes: Double,
    public val diskCacheMegabytes: Double,
    public val adapterSlots: Int,
    public val loadsPerSecond: Double,
    public val models: ImmutableMap<String, ModelSpec>
)

/**
 * A model, with the times that a load takes from the engine's host memory, from its disk and from
 * the weight store.
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
 * @property priority goes before the route's priority; null if the account has none.
 * @property tokensPerSecond the account's rate over the fleet, null for no limit.
 * @property defaultRequestTokens what a request counts that does not tell its tokens.
 */
public data class AccountConfig(
    public val name: String,
    public val keys: ImmutableSet<String>,
    public val priority: Int?,
    public val tokensPerSecond: Double?,
    public val burstTokens: Double,
    public val defaultRequestTokens: Double
)

/** Bounds on what a caller may send and how long it may take. */
public data class CallerLimits(
    public val maxHeaderBytes: Int,
    public val maxBodyBytes: Long,
    public val headerTimeoutMillis: Long,
    public val idleTimeoutMillis: Long
)
