package mustarddale.serving.scaling

import kotlinx.serialization.Serializable

/**
 * The requests of [service] at one instance.
 *
 * @property running the requests that are at engines now.
 * @property waiting the requests that wait for an engine now.
 * @property begun the requests that engines have begun since the last report.
 * @property refused the requests refused for lack of capacity since the last report.
 */
@Serializable
public data class ServiceLoad(
    public val service: String,
    public val running: Int,
    public val waiting: Int,
    public val begun: Int,
    public val refused: Int
)
