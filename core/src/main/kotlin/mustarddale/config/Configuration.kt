/*
 * The configuration that operators maintain: one immutable document. Field names carry the units,
 * parsing rejects unknown fields, and ConfigurationValidator checks the rules across its parts.
 */
package mustarddale.config

import kotlinx.serialization.Serializable

/** The whole configuration document. */
@Serializable
public data class Configuration(
    public val failureDomains: List<FailureDomain> = emptyList(),
    public val clientAccounts: List<ClientAccount> = emptyList(),
    public val services: List<Service> = emptyList(),
    public val backendServers: List<BackendServer> = emptyList(),
    public val limits: Limits = Limits()
)

/** A set of hosts that can fail, or be taken out of service, together. */
@Serializable
public data class FailureDomain(
    public val name: String,
    public val state: Availability = Availability.IN
)

/** Whether a failure domain or a backend server accepts new requests: in or out of service. */
@Serializable
public enum class Availability { IN, OUT }

/**
 * A client account with its API keys and its rate limit.
 *
 * @property tokensPerSecond the rate limit, summed over all instances.
 * @property burstTokens the burst size, summed over all instances.
 */
@Serializable
public data class ClientAccount(
    public val name: String,
    public val tokensPerSecond: Long,
    public val burstTokens: Long,
    public val keys: List<ApiKey> = emptyList()
)

/**
 * An API key of a client account, stored only as its digest.
 *
 * @property sha256 the SHA-256 digest of the key in 64 lower-case hexadecimal digits.
 */
@Serializable
public data class ApiKey(public val name: String, public val sha256: String)

/** A group of interchangeable backend servers that serve either models or plain HTTP routes. */
@Serializable
public data class Service(
    public val name: String,
    public val models: List<Model> = emptyList(),
    public val routes: List<Route> = emptyList()
)

/**
 * A model that the engines of one service can serve.
 *
 * @property memoryBytes accelerator memory that one loaded copy occupies.
 * @property maxOutputTokens the maximum number of tokens in one response.
 * @property maxTokensPerByte the maximum number of tokens per UTF-8 byte of the prompt.
 */
@Serializable
public data class Model(
    public val name: String,
    public val memoryBytes: Long,
    public val maxOutputTokens: Long = 1_024,
    public val maxTokensPerByte: Double = 1.0,
    public val adapters: List<Adapter> = emptyList()
)

/** An adapter of a model, which callers address by its own model name. */
@Serializable
public data class Adapter(public val name: String, public val memoryBytes: Long)

/**
 * A path prefix that is routed to a service without models.
 *
 * @property repeatable whether a call may be retried when its outcome is unknown.
 * @property tokensPerCall tokens that a call consumes from the client account's rate limit.
 */
@Serializable
public data class Route(
    public val prefix: String,
    public val access: Access = Access.KEYED,
    public val repeatable: Boolean = false,
    public val tokensPerCall: Long = 1
)

/** Whether a route is open to all callers or requires an API key. */
@Serializable
public enum class Access { OPEN, KEYED }

/**
 * A server that requests are forwarded to.
 *
 * @property memoryBytes accelerator memory of an engine; 0 for a service without models.
 * @property checksFencing whether it rejects a load or unload order with an old fencing token.
 * @property coldRequests maximum number of concurrent requests during its cold start.
 * @property maxInFlight maximum number of concurrent requests once it is warm.
 */
@Serializable
public data class BackendServer(
    public val name: String,
    public val service: String,
    public val url: String,
    public val failureDomain: String,
    public val memoryBytes: Long = 0,
    public val checksFencing: Boolean = false,
    public val coldRequests: Int = 1,
    public val maxInFlight: Int = 64,
    public val state: Availability = Availability.IN
)

/**
 * Limits that apply to all instances and backend servers together.
 *
 * @property rateSlots number of equal slots that each account's rate limit is divided into; the
 *   instances lease these slots.
 * @property slotLeaseMillis how long a slot stays with a holder that does not renew its lease.
 * @property modelLoadsAtOnce maximum number of concurrent model loads from the weight store.
 * @property adapterLoadsAtOnce maximum number of concurrent adapter loads.
 * @property rememberMillis how long the outcome of a non-repeatable call is kept.
 * @property maxRemembered maximum number of non-repeatable calls whose outcomes are kept.
 */
@Serializable
public data class Limits(
    public val rateSlots: Int = 60,
    public val slotLeaseMillis: Long = 75 * 60_000L,
    public val modelLoadsAtOnce: Int = 2,
    public val adapterLoadsAtOnce: Int = 15,
    public val rememberMillis: Long = 24 * 60 * 60_000L,
    public val maxRemembered: Int = 100_000
)
