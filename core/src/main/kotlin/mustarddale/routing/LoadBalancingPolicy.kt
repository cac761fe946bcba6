package mustarddale.routing

import kotlinx.serialization.Serializable
import mustarddale.config.BackendServer

/** Whether a backend server is past its cold start and can take full load. */
@Serializable
public enum class Warmth { UNKNOWN, COLD, WARM }

/**
 * A backend server that may handle a request.
 *
 * @property expectedQueue running and waiting requests: those of this instance, plus an estimate of
 *   those of other instances from load reports.
 * @property inFlight requests of this instance that are in flight at the server.
 * @property hasModel whether the model of the request is resident.
 * @property hasAdapter whether the adapter of the request is resident.
 */
public data class Candidate(
    public val server: BackendServer,
    public val warmth: Warmth = Warmth.WARM,
    public val expectedQueue: Double = 0.0,
    public val inFlight: Int = 0,
    public val hasModel: Boolean = true,
    public val hasAdapter: Boolean = true
)

/** Chooses one of several backend servers that can all handle a request. */
public fun interface LoadBalancingPolicy {
    /** Returns one of [candidates], null if none is suitable; random picks use [randomValue]. */
    public fun choose(candidates: List<Candidate>, randomValue: Int): Candidate?
}
