package mustarddale.serving.version

import kotlinx.serialization.Serializable

/** The ids of the [requests] whose streams servers with the software [version] began. */
@Serializable
public data class VersionedStreams(public val version: String, public val requests: List<String>) {
    public companion object {
        /** Groups requests by the versions of their streams. */
        public fun of(versionByRequest: Map<String, String>): List<VersionedStreams> =
            versionByRequest.entries.groupBy({ it.value }, { it.key })
                .map { (version, requests) -> VersionedStreams(version, requests) }
    }
}
