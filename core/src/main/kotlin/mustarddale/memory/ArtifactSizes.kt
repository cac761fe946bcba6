package mustarddale.memory

import mustarddale.config.ConfigurationIndex

/** What models and adapters take of an engine's memory. */
public object ArtifactSizes {
    /** The size of [artifact] in [service], null if that service has no such artifact. */
    public fun memoryBytes(index: ConfigurationIndex, service: String, artifact: String): Long? {
        val entry = index.models[artifact]?.takeIf { it.service == service } ?: return null
        return entry.adapter?.memoryBytes ?: entry.model.memoryBytes
    }
}
