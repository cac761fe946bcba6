package mustarddale.memory

import kotlinx.serialization.Serializable

/** An artifact that occupies memory of an engine, loaded or still loading. */
@Serializable
public data class HeldArtifact(public val name: String, public val memoryBytes: Long)
