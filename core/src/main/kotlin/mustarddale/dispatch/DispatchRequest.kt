package mustarddale.dispatch

import mustarddale.error.Refusal

/**
 * One request as the dispatcher sees it.
 *
 * @property service the service whose backend servers can take it.
 * @property account the client account that pays, null on a route that is open to all.
 * @property model the model that must be resident, null for a plain service.
 * @property adapter the adapter on that model, null for none.
 * @property reservedTokens the most that it can use of the account's rate.
 * @property transferredTokens what peers gave towards that.
 * @property excludedServers where it was tried in vain.
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

/** What the dispatcher decided on a request. */
public sealed interface AdmissionDecision {
    /** Send it to [server]; its tokens are taken. */
    public data class Admitted(public val server: String) : AdmissionDecision

    /** This instance lacks [missingTokens]; peers may give them. */
    public data class InsufficientTokens(public val missingTokens: Double) : AdmissionDecision

    /** Only cold servers are left, whose budgets other instances hold. */
    public data class NeedsColdStartPermit(public val servers: List<String>) : AdmissionDecision

    /** The artifact [artifact] of [service] is resident nowhere. */
    public data class NotResident(public val service: String, public val artifact: String) :
        AdmissionDecision

    /** It is refused for good. */
    public data class Refused(public val refusal: Refusal) : AdmissionDecision
}

/** A decision with the state after it. */
public data class DispatchResult<T>(public val state: DispatchState, public val decision: T)
