package mustarddale.memory

import mustarddale.config.ConfigurationIndex

/** Looks up the configured memory sizes of artifacts, which are models and adapters. */
public object ArtifactSizes {
    /** Returns the bytes that [artifact] occupies, null if [service] does not configure it. */
    public fun memoryBytes(index: ConfigurationIndex, service: String, artifact: String): Long? {
        val indexed = index.models[artifact]?.takeIf { it.service == service } ?: return null
        return indexed.adapter?.memoryBytes ?: indexed.model.memoryBytes
    }
}
