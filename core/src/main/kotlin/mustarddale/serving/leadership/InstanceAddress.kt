package mustarddale.serving.leadership

import kotlinx.serialization.Serializable

/** The host and port at which a process listens for other instances as long as it runs. */
@Serializable
public data class InstanceAddress(public val host: String, public val port: Int)
