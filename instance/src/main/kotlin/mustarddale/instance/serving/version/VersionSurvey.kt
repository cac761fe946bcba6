/*
 * Finds out whether one software version has begun all streams of a service. Three sources can
 * tell: the list of servers, if it is read after the question came; the leader, which relays the
 * list; and other instances, if neither of them responds.
 */
package mustarddale.instance.serving.version

import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.SharedAction
import mustarddale.instance.serving.feed.KeyedFeed
import mustarddale.instance.serving.state.StreamVersions
import mustarddale.serving.version.KnownVersions
import mustarddale.serving.version.ListCoverage
import mustarddale.serving.version.ListStatus
import mustarddale.serving.version.PeerPoll
import mustarddale.time.Clock

/**
 * Answers by [versions] and the [list] of servers; [pollPeers] asks other instances.
 *
 * Confined to the event loop.
 */
public class VersionSurvey(
    private val versions: StreamVersions,
    private val list: KeyedFeed,
    private val pollPeers: suspend () -> PeerPoll,
    private val clock: Clock
) {
    private val peerPolls = SharedAction("peer poll", POLL_INTERVAL_MILLIS) { poll() }
    private var peersAsOfMillis = Long.MIN_VALUE / 2
    private var missedReadMillis = Long.MIN_VALUE / 2

    /** Whether the log that holds the list does not respond, or too late. */
    public val isLogAway: Boolean
        get() = list.isDisconnected ||
            clock.monotonicMillis() - missedReadMillis < MISSED_READ_COUNTS_MILLIS

    /** How long ago the list was complete, in milliseconds. */
    public val listAgeMillis: Long get() = clock.monotonicMillis() - list.currentAsOfMillis

    /** Serves [askPeers] until cancelled. */
    public suspend fun run(): Unit = peerPolls.run()

    /** Returns the versions of the streams of [service] that were begun before [atMillis]. */
    public fun versionsOf(service: String, atMillis: Long): KnownVersions {
        val coverage = ListCoverage(
            list.followedSinceMillis,
            versions.toldAtMillis,
            maxOf(list.currentAsOfMillis, peersAsOfMillis)
        )
        return versions.history.versionsOf(service, coverage.isCompleteAt(atMillis))
    }

    /** Like [versionsOf], but reads the list if it is older than [atMillis]. */
    public suspend fun readVersionsOf(service: String, atMillis: Long): KnownVersions {
        val known = versionsOf(service, atMillis)
        val isRead = list.currentAsOfMillis >= atMillis
        if (known != KnownVersions.Unknown || isRead || isLogAway) return known
        val isCurrent = withTimeoutOrNull(MAX_READ_MILLIS) { list.refresh() } ?: false
        if (!isCurrent) missedReadMillis = clock.monotonicMillis()
        return versionsOf(service, atMillis)
    }

    /** Asks other instances; false if none that answers follows the list. */
    public suspend fun askPeers(): Boolean = peerPolls.request() ?: false

    private suspend fun poll(): Boolean {
        val askedMillis = clock.monotonicMillis()
        val poll = pollPeers()
        poll.statusByRun.values.forEach {
            versions.history.merge(it.services, clock.monotonicMillis())
        }
        poll.ageMillis?.let { peersAsOfMillis = maxOf(peersAsOfMillis, askedMillis - it) }
        DecisionLog.record(
            "peers_polled",
            "asked" to poll.asked.map { it.instance },
            "listAges" to poll.statusByRun.values.map { it.ageMillis },
            "ageMillis" to poll.ageMillis
        )
        return poll.hasFollower
    }

    /** Returns what this instance can tell others of the list, which it reads first. */
    public suspend fun status(): ListStatus {
        val askedMillis = clock.monotonicMillis()
        if (!isLogAway) withTimeoutOrNull(MAX_READ_MILLIS) { list.refresh() }
        return ListStatus(
            ageMillis = (askedMillis - list.currentAsOfMillis).coerceAtLeast(0),
            services = versions.history.allServices(clock.monotonicMillis())
        )
    }

    private companion object {
        /** The log responds in 4 ms; the leader is asked if it takes longer. */
        const val MAX_READ_MILLIS = 100L

        /** Bounds the questions while many requests wait for an answer. */
        const val POLL_INTERVAL_MILLIS = 250L

        /** In this time, requests ask others first. */
        const val MISSED_READ_COUNTS_MILLIS = 500L
    }
}
