package mustarddale.memory

import kotlinx.serialization.Serializable

/** An artifact that an engine holds memory for. */
@Serializable
public data class HeldArtifact(public val name: String, public val memoryBytes: Long)
