/*
 * What one instance knows of a backend server's load and health. It combines its own requests,
 * known without delay, with the totals that the server tells with its answers, and with how the
 * server's answers ended.
 */
package mustarddale.serving.backend

import kotlin.math.exp
import kotlin.math.max

/** How the server ended a request. */
public enum class RequestOutcome { GOOD, FAILED, REFUSED, LOST }

/** The total that a server told: requests that run and wait there, from all instances. */
public data class ReportedLoad(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int
)

/** The load of one backend server; belongs to one thread. */
public class BackendLoad(private val slots: Int) {
    private var othersCount = 0.0
    private var toldAtMillis = 0L
    private var failureScore = 0.0
    private var scoredAtMillis = 0L
    private var lostInARow = 0
    private var suspectedUntilMillis = 0L
    private var coldUntilMillis = 0L
    private val coldSends = ArrayDeque<Long>()

    /** This instance's own requests there. */
    public var inFlight: Int = 0
        private set

    /** Notes that a request is sent. */
    public fun recordSent(nowMillis: Long) {
        inFlight++
        if (isCold(nowMillis)) coldSends.addLast(nowMillis)
    }

    /** Notes that a request has ended. */
    public fun recordOutcome(ending: RequestOutcome, nowMillis: Long) {
        inFlight = max(0, inFlight - 1)
        val weight = if (ending == RequestOutcome.GOOD) 0.0 else 1.0
        failureScore = failureScore(nowMillis) * (1 - SCORE_STEP) + weight * SCORE_STEP
        scoredAtMillis = nowMillis
        if (ending != RequestOutcome.LOST) {
            lostInARow = 0
            return
        }
        lostInARow++
        if (lostInARow >= LOST_BEFORE_SUSPICION) {
            val backoffs = (lostInARow - LOST_BEFORE_SUSPICION).coerceAtMost(MAX_DOUBLINGS)
            suspectedUntilMillis = nowMillis + (SUSPICION_MILLIS shl backoffs)
        }
    }

    /** Takes in what the server told with an answer. */
    public fun report(load: ReportedLoad, nowMillis: Long) {
        othersCount = max(0, load.running + load.waiting - inFlight).toDouble()
        toldAtMillis = nowMillis
    }

    /** Notes that the server is cold for [millis] more. */
    public fun setCold(millis: Long, nowMillis: Long) {
        coldUntilMillis = if (millis <= 0) 0 else nowMillis + millis
    }

    /** Whether the server is cold. */
    public fun isCold(nowMillis: Long): Boolean = nowMillis < coldUntilMillis

    /** How many requests were sent to the cold server within the last second. */
    public fun coldSendsWithin(windowMillis: Long, nowMillis: Long): Int {
        while (coldSends.isNotEmpty() && coldSends.first() <= nowMillis - windowMillis) {
            coldSends.removeFirst()
        }
        return coldSends.size
    }

    /** Whether the server lost its last requests and should be tried by one request at a time. */
    public fun isSuspected(nowMillis: Long): Boolean =
        nowMillis < suspectedUntilMillis || lostInARow >= LOST_BEFORE_SUSPICION && inFlight > 0

    /** The expected number of requests there, for each of its slots. */
    public fun pressure(nowMillis: Long): Double {
        val age = (nowMillis - toldAtMillis).coerceAtLeast(0)
        val others = othersCount * exp(-age / TOLD_LIFETIME_MILLIS)
        return (inFlight + others) / max(1, slots)
    }

    /** Returns how long ago the server told its load, null if it never did. */
    public fun reportAgeMillis(nowMillis: Long): Long? =
        (nowMillis - toldAtMillis).takeIf { toldAtMillis > 0 }

    /** The part of its recent requests that failed, fading with time. */
    public fun failureScore(nowMillis: Long): Double {
        val age = (nowMillis - scoredAtMillis).coerceAtLeast(0)
        return failureScore * exp(-age / SCORE_LIFETIME_MILLIS)
    }

    private companion object {
        /** Share of the newest ending in the score: about the last ten endings count. */
        const val SCORE_STEP = 0.1

        /** A server that failed gets a trickle of requests again after some seconds. */
        const val SCORE_LIFETIME_MILLIS = 3_000.0

        /** Requests last one to two seconds, so a told total is stale after that. */
        const val TOLD_LIFETIME_MILLIS = 1_500.0

        /** One lost connection may be the connection's fault. */
        const val LOST_BEFORE_SUSPICION = 2

        /** About the time after which a crashed server's entry lapses, in steps. */
        const val SUSPICION_MILLIS = 500L

        const val MAX_DOUBLINGS = 3
    }
}
