package mustarddale.serving.scaling

import kotlinx.serialization.Serializable

/** The number of engines that [service] should have in the failure domain [domain]. */
@Serializable
public data class DesiredEngines(
    public val service: String,
    public val domain: String,
    public val desired: Int
)
