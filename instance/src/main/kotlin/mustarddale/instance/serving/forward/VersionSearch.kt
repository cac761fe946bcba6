/*
 * Looks for the software version that began a stream: in the records of this instance and of the
 * leader, and in the list of servers, if it shows that there was only one. Where the log and the
 * leader are out of reach, other instances tell what is listed.
 */
package mustarddale.instance.serving.forward

import kotlinx.coroutines.delay
import mustarddale.instance.serving.leader.LeaderLoans
import mustarddale.instance.serving.state.StreamVersions
import mustarddale.instance.serving.version.VersionSurvey
import mustarddale.serving.version.KnownVersions
import mustarddale.time.Clock

/** The [version] that began a stream, and the [source] that knew it. */
internal class FoundVersion(val version: String, val source: String)

/**
 * A search for the version of one stream of [service].
 *
 * @param stream the id under which the version is recorded, null if it is not known.
 */
internal class VersionSearch(
    private val service: String,
    private val stream: String?,
    private val versions: StreamVersions,
    private val survey: VersionSurvey,
    private val loans: LeaderLoans,
    private val clock: Clock
) {
    private val startMillis = clock.monotonicMillis()
    private var untilMillis = startMillis + MAX_LEADER_WAIT_MILLIS
    private var hasLeaderAnswered = false
    private var isHopeless = false

    /** Searches until [deadlineMillis] at most; null as soon as nobody can tell the version. */
    suspend fun find(deadlineMillis: Long): FoundVersion? {
        while (true) {
            // The leader has most records, and a read of the list is a call to the log.
            val found = inRecords() ?: atLeader() ?: inList() ?: atPeers()
            val nowMillis = clock.monotonicMillis()
            if (found != null || isHopeless || nowMillis >= minOf(untilMillis, deadlineMillis)) {
                return found
            }
            delay(RETRY_INTERVAL_MILLIS)
        }
    }

    private fun inRecords(): FoundVersion? =
        stream?.let { versions.versionOf(it) }?.let { FoundVersion(it, "instance") }

    private suspend fun inList(): FoundVersion? {
        val listed = survey.readVersionsOf(service, startMillis)
        if (listed is KnownVersions.One) return FoundVersion(listed.version, "list")
        isHopeless = listed == KnownVersions.None ||
            listed == KnownVersions.Several && stream == null
        return null
    }

    private suspend fun atLeader(): FoundVersion? {
        if (stream == null) return null
        val answer = loans.requestVersion(stream)
        if (answer != null && !hasLeaderAnswered) {
            untilMillis = minOf(untilMillis, clock.monotonicMillis() + MAX_REPORT_WAIT_MILLIS)
        }
        hasLeaderAnswered = hasLeaderAnswered || answer != null
        return answer?.version?.let { FoundVersion(it, "leader") }
    }

    private suspend fun atPeers(): FoundVersion? {
        if (isHopeless || !survey.isLogAway) return null
        val hasFollower = survey.askPeers()
        val told = survey.versionsOf(service, startMillis)
        if (told is KnownVersions.One) return FoundVersion(told.version, "peers")
        val mayYetBeOne = hasFollower && told == KnownVersions.Unknown
        isHopeless = !hasLeaderAnswered && !mayYetBeOne
        return null
    }

    private companion object {
        /** Longer than the lease of a leader that was lost, and the next election. */
        const val MAX_LEADER_WAIT_MILLIS = 3_000L

        /** In this time the reports of streams reach a leader, also a new one. */
        const val MAX_REPORT_WAIT_MILLIS = 600L

        const val RETRY_INTERVAL_MILLIS = 50L
    }
}
