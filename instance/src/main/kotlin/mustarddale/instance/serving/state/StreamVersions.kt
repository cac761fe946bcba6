/*
 * What this instance knows of the software versions that began streams: of its own streams, and of
 * those of others that it keeps for the leader, so that they outlast a leader. Records are reported
 * before a second version appears too, because an instance may be lost at the same moment; while a
 * service has several versions, they are urgent.
 */
package mustarddale.instance.serving.state

import mustarddale.serving.backend.Backend
import mustarddale.serving.version.ServiceVersions
import mustarddale.serving.version.StreamRecords
import mustarddale.serving.version.VersionHistory
import mustarddale.serving.version.VersionedStreams
import mustarddale.time.Clock

/** Collects the versions of streams; confined to one thread. */
public class StreamVersions(private val clock: Clock) {
    private val records = StreamRecords(MAX_RECORDS)
    private val kept = StreamRecords(MAX_KEPT_RECORDS)
    private var reportedNumber = 0L
    private var reportedKeptNumber = 0L

    /** When another instance has last told what services had before, null if none has. */
    public var toldAtMillis: Long? = null
        private set

    /** The versions that services have had lately. */
    public val history: VersionHistory = VersionHistory()

    /** The number of streams whose versions are known. */
    public val size: Int get() = records.size + kept.size

    /** Called when there is a record that is urgent to report. */
    public var onRecord: () -> Unit = {}

    /** Records that servers with [version] began the stream of [request]. */
    public fun record(request: String, version: String) {
        val isNew = records.put(request, version, clock.monotonicMillis())
        if (isNew && history.hasMixedServices) onRecord()
    }

    /** Keeps [streams] of other instances for a new leader. */
    public fun keep(streams: List<VersionedStreams>) {
        val nowMillis = clock.monotonicMillis()
        val isReported = reportedKeptNumber == kept.lastNumber
        streams.forEach { group ->
            group.requests.forEach { request ->
                if (records.versionOf(request) == null) kept.put(request, group.version, nowMillis)
            }
        }
        // The leader has sent them, so it needs no report of them, but may need one of others.
        if (isReported) reportedKeptNumber = kept.lastNumber
    }

    /** Returns the version that began the stream of [request], null if it is not known here. */
    public fun versionOf(request: String): String? =
        records.versionOf(request) ?: kept.versionOf(request)

    /** Returns the records since the last call, or since [forgetReports]. */
    public fun takeUnreported(): List<VersionedStreams> {
        val unreported = records.since(reportedNumber) + kept.since(reportedKeptNumber)
        reportedNumber = records.lastNumber
        reportedKeptNumber = kept.lastNumber
        return VersionedStreams.of(unreported)
    }

    /** Makes the next report contain all records again. */
    public fun forgetReports() {
        reportedNumber = 0
        reportedKeptNumber = 0
    }

    /** Takes over the versions that another instance has recorded for [services]. */
    public fun recordTold(services: List<ServiceVersions>) {
        val nowMillis = clock.monotonicMillis()
        history.merge(services, nowMillis)
        toldAtMillis = nowMillis
    }

    /** Records the versions of the listed [backends]. */
    public fun recordListed(backends: Collection<Backend>) {
        val nowMillis = clock.monotonicMillis()
        backends.forEach { history.recordListed(it.service, it.version, nowMillis) }
        history.removeExpired(nowMillis)
    }

    private companion object {
        /** The streams that one instance begins within the lifetime of a record. */
        const val MAX_RECORDS = 8_192

        /** The streams of all instances in that time. */
        const val MAX_KEPT_RECORDS = 32_768
    }
}
