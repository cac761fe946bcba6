/*
 * The software versions that the servers of each service have had lately. While there was only
 * one, each stream was begun by it, so nothing has to be known of single streams.
 */
package mustarddale.serving.version

import kotlinx.serialization.Serializable

/** The versions of one service, with the milliseconds since each was last listed. */
@Serializable
public data class ServiceVersions(
    public val service: String,
    public val ageMillisByVersion: Map<String, Long>
)

/** Follows the versions of services; not thread-safe. */
public class VersionHistory {
    private val seenMillisByService = HashMap<String, HashMap<String, Long>>()

    /** Whether any service has had several versions. */
    public val hasMixedServices: Boolean get() = seenMillisByService.values.any { it.size > 1 }

    /** Records that a server of [service] with [version] is listed. */
    public fun recordListed(service: String, version: String, nowMillis: Long) {
        seenMillisByService.getOrPut(service) { HashMap() }.merge(version, nowMillis, ::maxOf)
    }

    /** Takes over what another instance has recorded. */
    public fun merge(services: List<ServiceVersions>, nowMillis: Long): Unit = services.forEach {
        it.ageMillisByVersion.forEach { (version, ageMillis) ->
            recordListed(it.service, version, nowMillis - ageMillis)
        }
    }

    /** Whether streams of [service] may have been begun by several versions. */
    public fun isMixed(service: String): Boolean = (seenMillisByService[service]?.size ?: 0) > 1

    /**
     * Returns the versions that began the streams of [service].
     *
     * @param isComplete whether all versions that were listed until now have been recorded.
     */
    public fun versionsOf(service: String, isComplete: Boolean): KnownVersions {
        val versions = seenMillisByService[service]?.keys.orEmpty()
        return when {
            versions.size > 1 -> KnownVersions.Several
            !isComplete -> KnownVersions.Unknown
            else -> versions.singleOrNull()?.let { KnownVersions.One(it) } ?: KnownVersions.None
        }
    }

    /** Forgets versions that began no stream that can still go on. */
    public fun removeExpired(nowMillis: Long) {
        seenMillisByService.values.forEach { versions ->
            versions.values.removeIf { nowMillis - it >= StreamRecords.TTL_MILLIS }
        }
        seenMillisByService.values.removeIf { it.isEmpty() }
    }

    /** Returns the versions of all services that have several. */
    public fun mixedServices(nowMillis: Long): List<ServiceVersions> =
        allServices(nowMillis).filter { it.ageMillisByVersion.size > 1 }

    /** Returns the versions of all services. */
    public fun allServices(nowMillis: Long): List<ServiceVersions> =
        seenMillisByService.map { (service, versions) ->
            ServiceVersions(service, versions.mapValues { nowMillis - it.value })
        }
}
