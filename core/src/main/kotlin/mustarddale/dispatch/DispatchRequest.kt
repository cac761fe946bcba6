package mustarddale.dispatch

import mustarddale.error.Refusal

/**
 * The properties of a request that decide its admission and routing.
 *
 * @property service the service whose backend servers can handle the request.
 * @property account the client account that is charged, null on a route without authentication.
 * @property model the model that must be resident, null for a service without models.
 * @property adapter the adapter of that model that must be resident, null if none is needed.
 * @property reservedTokens the most tokens that the request can consume.
 * @property transferredTokens tokens that other instances transferred for this request.
 * @property excludedServers backend servers where an earlier attempt failed.
 */
public data class DispatchRequest(
    public val service: String,
    public val account: String?,
    public val model: String? = null,
    public val adapter: String? = null,
    public val reservedTokens: Double = 0.0,
    public val transferredTokens: Double = 0.0,
    public val excludedServers: Set<String> = emptySet()
)

/** The decision on a request. */
public sealed interface AdmissionDecision {
    /** The request goes to [server]; its tokens have been charged. */
    public data class Admitted(public val server: String) : AdmissionDecision

    /** This instance has too few tokens, by [missingTokens]; other instances may have them. */
    public data class InsufficientTokens(public val missingTokens: Double) : AdmissionDecision

    /** Only the cold [servers] are left; other instances may lend permits for them. */
    public data class NeedsColdStartPermit(public val servers: List<String>) : AdmissionDecision

    /** The model or adapter [artifact] is on no available backend server of [service]. */
    public data class NotResident(public val service: String, public val artifact: String) :
        AdmissionDecision

    /** The request is refused; other instances cannot help. */
    public data class Refused(public val refusal: Refusal) : AdmissionDecision
}

/** A [decision] and the [state] after it. */
public data class DispatchResult<T>(public val state: DispatchState, public val decision: T)
