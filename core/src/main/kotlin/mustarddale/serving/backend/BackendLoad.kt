/*
 * The load and the health of a backend server as seen by one instance. It combines the instance's
 * own requests, which are known without delay, with the totals that the server reports in its
 * responses, here or at other instances, and with the outcomes and times of earlier requests.
 */
package mustarddale.serving.backend

import kotlin.math.exp
import kotlin.math.max

/**
 * The outcome of a request at a backend server: a response without a server error, a server error
 * or an incomplete response, a request that the server did not run, or no response at all.
 */
public enum class RequestOutcome { GOOD, FAILED, REFUSED, LOST }

/**
 * The requests of all instances that run and wait at a server, as reported by the server.
 *
 * @property pacePercent how long work takes on the server's machine at this moment, 100 for the
 *   usual time; null if the server does not state it.
 */
public data class ReportedLoad(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val pacePercent: Int? = null
)

/** A [load] that a server reported [ageMillis] ago. */
public data class AgedLoad(public val load: ReportedLoad, public val ageMillis: Long)

/**
 * The load of one backend server with [slots] slots; not thread-safe.
 *
 * @param times the usual times of the server's service, the same for all its servers.
 * @param onReachabilityChanged called when [unreachableMillis] has changed other than by time.
 */
public class BackendLoad(
    private val slots: Int,
    times: ServiceTimes = ServiceTimes(),
    private val onReachabilityChanged: () -> Unit = {}
) {
    private var reportedOtherRequests = 0.0
    private var reportedAtMillis = 0L
    private var news: ReportedLoad? = null
    private var newsAtMillis = 0L
    private val history = RequestHistory()
    private var failureScore = 0.0
    private var scoreUpdatedAtMillis = 0L
    private var successiveLosses = 0
    private var suspectedUntilMillis = 0L
    private var coldUntilMillis = 0L
    private var nextPermitMillis = 0L
    private var permitRefusedPriority = 0
    private var restUntilMillis = 0L
    private var hasBeenReached = false
    private var unreachableUntilMillis = 0L

    /** The number of this instance's requests that are in flight to the server. */
    public var inFlight: Int = 0
        private set

    /** The speed of the server and the number of requests that it runs at once in effect. */
    public val performance: ServerPerformance = ServerPerformance(slots, times)

    /** Records that a request is sent, at [nowMillis] if known. */
    public fun recordSent(nowMillis: Long = 0) {
        inFlight++
        history.record(inFlight, nowMillis)
    }

    /** Records that a request has ended with [outcome]. */
    public fun recordOutcome(outcome: RequestOutcome, nowMillis: Long) {
        inFlight = max(0, inFlight - 1)
        history.record(inFlight, nowMillis)
        val sample = if (outcome == RequestOutcome.GOOD) 0.0 else 1.0
        failureScore = failureScore(nowMillis) * (1 - SCORE_SMOOTHING) + sample * SCORE_SMOOTHING
        scoreUpdatedAtMillis = nowMillis
        if (outcome != RequestOutcome.LOST) {
            successiveLosses = 0
            return
        }
        successiveLosses++
        if (successiveLosses >= SUSPICION_LOSSES) {
            val doublings = (successiveLosses - SUSPICION_LOSSES).coerceAtMost(MAX_DOUBLINGS)
            suspectedUntilMillis = nowMillis + (SUSPICION_MILLIS shl doublings)
        }
    }

    /** Records that a connection to the server was established, so earlier losses say nothing. */
    public fun endSuspicion() {
        successiveLosses = 0
        suspectedUntilMillis = 0
    }

    /** Records whether a request [isSent], that is, written on a connection to the server. */
    public fun recordReached(isSent: Boolean, nowMillis: Long) {
        if (hasBeenReached) return
        if (isSent) hasBeenReached = true else unreachableUntilMillis = nowMillis + RETRY_MILLIS
        if (unreachableUntilMillis > 0) onReachabilityChanged()
    }

    /**
     * Returns the milliseconds for which the server counts as unreachable: no request has ever
     * reached it, and the last try was a short time ago.
     */
    public fun unreachableMillis(nowMillis: Long): Long =
        if (hasBeenReached) 0 else (unreachableUntilMillis - nowMillis).coerceAtLeast(0)

    /** Records the load that the server reported in a response. */
    public fun report(load: ReportedLoad, nowMillis: Long) {
        reportedOtherRequests = max(0, load.running + load.waiting - inFlight).toDouble()
        reportedAtMillis = nowMillis
        load.pacePercent?.let { performance.recordPace(it, nowMillis) }
        news = load
        newsAtMillis = nowMillis
    }

    /**
     * Records the load that the server reported to another instance [ageMillis] ago, unless this
     * instance has a newer report.
     */
    public fun reportShared(load: ReportedLoad, ageMillis: Long, nowMillis: Long) {
        val atMillis = nowMillis - ageMillis.coerceAtLeast(0)
        if (atMillis <= reportedAtMillis) return
        // The total includes those of this instance that were in flight then.
        val ownRequests = history.at(atMillis)
        reportedOtherRequests = max(0, load.running + load.waiting - ownRequests).toDouble()
        reportedAtMillis = atMillis
        load.pacePercent?.let { performance.recordPace(it, atMillis) }
    }

    /** Returns the newest load reported to this instance since the last call, null if none. */
    public fun takeNews(nowMillis: Long): AgedLoad? {
        val load = news ?: return null
        news = null
        return AgedLoad(load, nowMillis - newsAtMillis)
    }

    /** Records the times of a request that the server has served, see [ServerPerformance]. */
    public fun recordServed(
        size: RequestSize,
        isStream: Boolean,
        requestCount: Double,
        sentMillis: Long,
        firstEventMillis: Long,
        endMillis: Long
    ) {
        // Own requests alone don't tell how many the server has, so that only its speed is learned.
        val count = if (isReporting(sentMillis)) requestCount else 0.0
        performance.recordServed(
            size,
            isStream,
            count,
            sentMillis,
            firstEventMillis,
            endMillis
        )
    }

    /** Whether the server has reported its load lately. */
    public fun isReporting(nowMillis: Long): Boolean =
        reportedAtMillis > 0 && nowMillis - reportedAtMillis < REPORTING_MILLIS

    /** Marks the server as cold for [millis] from now; 0 ends the cold phase. */
    public fun setCold(millis: Long, nowMillis: Long) {
        coldUntilMillis = if (millis <= 0) 0 else nowMillis + millis
    }

    /** Whether the server was started recently and can handle only a few requests. */
    public fun isCold(nowMillis: Long): Boolean = nowMillis < coldUntilMillis

    /** Marks the server as cold for at least [millis] from now. */
    public fun assumeCold(millis: Long, nowMillis: Long) {
        coldUntilMillis = maxOf(coldUntilMillis, nowMillis + millis)
    }

    /**
     * Records that there is no permit for a request of [priority] to this server before
     * [untilMillis]; requests with a lower number are more urgent and may still get one.
     */
    public fun deferPermits(untilMillis: Long, priority: Int, nowMillis: Long) {
        if (!mayRequestPermit(priority, nowMillis)) return
        nextPermitMillis = untilMillis
        permitRefusedPriority = priority
    }

    /** Records that there may be permits again, because the server accepts more requests. */
    public fun resumePermits() {
        nextPermitMillis = 0
    }

    /** Whether there may be a permit for a request of [priority] to this server. */
    public fun mayRequestPermit(priority: Int, nowMillis: Long): Boolean =
        nowMillis >= nextPermitMillis || priority < permitRefusedPriority

    /** Returns the milliseconds until there may be permits for all requests to this server. */
    public fun permitWaitMillis(nowMillis: Long): Long =
        (nextPermitMillis - nowMillis).coerceAtLeast(0)

    /** Records that the server wants no requests for [millis], unless it has asked for longer. */
    public fun rest(millis: Long, nowMillis: Long) {
        restUntilMillis = maxOf(restUntilMillis, nowMillis + millis.coerceAtMost(MAX_REST_MILLIS))
    }

    /** Returns the milliseconds for which the server wants no requests. */
    public fun restWaitMillis(nowMillis: Long): Long =
        (restUntilMillis - nowMillis).coerceAtLeast(0)

    /** Whether the last requests were lost, so that only one at a time should probe the server. */
    public fun isSuspected(nowMillis: Long): Boolean =
        nowMillis < suspectedUntilMillis || successiveLosses >= SUSPICION_LOSSES && inFlight > 0

    /** Returns the estimated number of requests of all instances at the server. */
    public fun requestCount(nowMillis: Long): Double {
        if (reportedOtherRequests == 0.0) return inFlight.toDouble()
        val ageMillis = (nowMillis - reportedAtMillis).coerceAtLeast(0)
        return inFlight + reportedOtherRequests * exp(-ageMillis / REPORT_DECAY_MILLIS)
    }

    /** Returns [requestCount] divided by the requests that the server runs at once in effect. */
    public fun loadPerSlot(nowMillis: Long): Double =
        requestCount(nowMillis) / max(1.0, performance.effectiveSlots(nowMillis))

    /** Returns the age of the last reported load in milliseconds, null if there is none. */
    public fun reportAgeMillis(nowMillis: Long): Long? =
        (nowMillis - reportedAtMillis).takeIf { reportedAtMillis > 0 }

    /** Returns the fraction of recent requests that failed, from 0 to 1, decaying with time. */
    public fun failureScore(nowMillis: Long): Double {
        val ageMillis = (nowMillis - scoreUpdatedAtMillis).coerceAtLeast(0)
        return failureScore * exp(-ageMillis / SCORE_DECAY_MILLIS)
    }

    private companion object {
        /** Weight of the newest outcome in the moving average: about the last ten count. */
        const val SCORE_SMOOTHING = 0.1

        /** After a few seconds a server that failed receives a few requests again. */
        const val SCORE_DECAY_MILLIS = 3_000.0

        /** Requests take one to two seconds, so a reported total is outdated after that. */
        const val REPORT_DECAY_MILLIS = 1_500.0

        /** Longer than the interval of requests to a server that is seldom used. */
        const val REPORTING_MILLIS = 10_000L

        /** A single lost request may be caused by the connection rather than by the server. */
        const val SUSPICION_LOSSES = 2

        /**
         * The first interval between probes; it doubles with each loss, up to about the time in
         * which the entry of a crashed server expires from the list.
         */
        const val SUSPICION_MILLIS = 500L

        /** The interval of tries to reach a server that none has reached yet. */
        const val RETRY_MILLIS = 4_000L

        /** Bounds what an absurd time of a faulty server costs. */
        const val MAX_REST_MILLIS = 3_600_000L

        /** Limits the interval between probes to 4 s. */
        const val MAX_DOUBLINGS = 3
    }
}
