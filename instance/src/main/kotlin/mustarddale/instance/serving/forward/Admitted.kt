package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.RequestHeaders
import mustarddale.instance.serving.protocol.RequestHead
import mustarddale.serving.config.ServedAccount
import mustarddale.serving.config.ServedRoute

/**
 * A request with all that was decided when it was admitted, under one version of the configuration.
 *
 * @property giveUpAtMillis when the caller or the route has no more time for it.
 * @property tokens what it counts against its account's rate.
 */
public data class Admitted(
    public val head: RequestHead,
    public val headers: RequestHeaders,
    public val body: HttpData,
    public val route: ServedRoute,
    public val service: String,
    public val account: ServedAccount?,
    public val tokens: Double,
    public val arrivedAtMillis: Long,
    public val giveUpAtMillis: Long
) {
    /** When the caller gives up at the latest if no answer has begun. */
    public val callerLeavesAtMillis: Long
        get() = minOf(
            giveUpAtMillis,
            arrivedAtMillis + (route.patienceMillis ?: Long.MAX_VALUE / 2)
        )

    /** The priority that the request has at backend servers. */
    public val priority: Int get() = account?.priority ?: route.priority
}
