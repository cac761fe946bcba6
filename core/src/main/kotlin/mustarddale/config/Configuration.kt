/*
 * The operators' configuration: one immutable document. Units stand in the field names, unknown
 * fields are refused when it is read, and ConfigurationValidator holds the rules between its parts.
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

/** A set of machines that can fail, or be taken out, together. */
@Serializable
public data class FailureDomain(
    public val name: String,
    public val state: Availability = Availability.IN
)

/** Whether a failure domain or a backend server may be given new work. */
@Serializable
public enum class Availability { IN, OUT }

/**
 * A tenant with its keys and its rate.
 *
 * @property tokensPerSecond the rate over all instances together.
 * @property burstTokens the burst over all instances together.
 */
@Serializable
public data class ClientAccount(
    public val name: String,
    public val tokensPerSecond: Long,
    public val burstTokens: Long,
    public val keys: List<ApiKey> = emptyList()
)

/**
 * A key of a client account, of which only the digest is kept.
 *
 * @property sha256 the SHA-256 digest of the key in 64 lower-case hexadecimal digits.
 */
@Serializable
public data class ApiKey(public val name: String, public val sha256: String)

/** A group of equal backend servers with what they offer: models, or plain routes. */
@Serializable
public data class Service(
    public val name: String,
    public val models: List<Model> = emptyList(),
    public val routes: List<Route> = emptyList()
)

/**
 * A model that engines of one service can serve.
 *
 * @property memoryBytes accelerator memory that a resident copy takes.
 * @property maxOutputTokens the most tokens that one answer may have.
 * @property maxTokensPerByte the most tokens that the tokenizer makes of one UTF-8 byte of prompt.
 */
@Serializable
public data class Model(
    public val name: String,
    public val memoryBytes: Long,
    public val maxOutputTokens: Long = 1_024,
    public val maxTokensPerByte: Double = 1.0,
    public val adapters: List<Adapter> = emptyList()
)

/** An adapter, which callers name as a model of its own. */
@Serializable
public data class Adapter(public val name: String, public val memoryBytes: Long)

/**
 * A path prefix that leads to a plain service.
 *
 * @property repeatable whether a call may be sent again when its outcome is unknown.
 * @property tokensPerCall what a call takes from the client account's rate.
 */
@Serializable
public data class Route(
    public val prefix: String,
    public val access: Access = Access.KEYED,
    public val repeatable: Boolean = false,
    public val tokensPerCall: Long = 1
)

/** Who may call a route. */
@Serializable
public enum class Access { OPEN, KEYED }

/**
 * A server that requests are sent to.
 *
 * @property memoryBytes accelerator memory of an engine; 0 for a plain service.
 * @property checksFencing whether it refuses an order with an old fencing number.
 * @property coldRequests how many requests at a time it bears while in cold start.
 * @property maxInFlight how many requests at a time it is given when warm.
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
 * Limits of the fleet as a whole.
 *
 * @property rateSlots how many slots the rates are divided into.
 * @property slotLeaseMillis how long a slot stays with a holder that cannot renew.
 * @property rememberMillis how long the outcome of a non-repeatable call is remembered.
 * @property modelLoadsAtOnce how many models are loaded at a time from the weight store.
 * @property adapterLoadsAtOnce how many adapters are loaded at a time.
 * @property maxRemembered how many non-repeatable calls are remembered at a time.
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
