package mustarddale.routing

import kotlinx.serialization.Serializable
import mustarddale.config.BackendServer

/** Whether a backend server is ready for full load. */
@Serializable
public enum class Warmth { UNKNOWN, COLD, WARM }

/**
 * A backend server as a request sees it.
 *
 * @property expectedQueue requests running and waiting there: this instance's own, and those of
 *   others by the last reports.
 * @property inFlight requests of this instance that are under way there.
 * @property hasModel whether the model of the request is resident there.
 * @property hasAdapter whether the adapter of the request is resident there.
 */
public data class Candidate(
    public val server: BackendServer,
    public val warmth: Warmth = Warmth.WARM,
    public val expectedQueue: Double = 0.0,
    public val inFlight: Int = 0,
    public val hasModel: Boolean = true,
    public val hasAdapter: Boolean = true
)

/** A way to choose one of several backend servers that can all take a request. */
public fun interface LoadBalancingPolicy {
    /** Returns one of [candidates], null if there is none; [randomValue] is a random number. */
    public fun choose(candidates: List<Candidate>, randomValue: Int): Candidate?
}
