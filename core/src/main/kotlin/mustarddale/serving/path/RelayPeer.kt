package mustarddale.serving.path

import kotlinx.serialization.Serializable

/**
 * An instance that takes requests of instances that can't reach servers themselves.
 *
 * @property run the id of its process; knowing it shows that a request comes from an instance.
 * @property port the port at which it takes them.
 */
@Serializable
public data class RelayPeer(
    public val instance: String,
    public val run: String,
    public val host: String,
    public val port: Int,
    public val failureDomain: String
)
