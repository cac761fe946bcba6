package mustarddale.serving.limit

import kotlin.math.max
import kotlinx.serialization.Serializable

/**
 * The limit of one run of a backend server, as the leader knows it.
 *
 * @property requestsPerSecond the requests that the server accepts from all instances together.
 * @property revision grows with each observation of the limit, also of the same one.
 */
@Serializable
public data class ServerLimit(
    public val server: String,
    public val requestsPerSecond: Double,
    public val revision: Long
)

/**
 * What an instance has learned of a server's limit since its last report.
 *
 * @property requestsPerSecond the limit, null if the server sets none any more.
 * @property revision the revision that a higher limit, or the end of the limit, is newer than; null
 *   if the limit is not known to be newer than any other.
 */
@Serializable
public data class LimitObservation(
    public val server: String,
    public val requestsPerSecond: Double?,
    public val revision: Long?
)

/** Permission to send one request to a server with a limit. */
public sealed interface SendPermit {
    /** The request may be sent in [delayMillis]. */
    public data class Granted(public val delayMillis: Long) : SendPermit

    /** The request must not be sent; a permit may be available in [retryMillis]. */
    public data class Refused(public val retryMillis: Long) : SendPermit
}

/** Returns the mean interval of requests to a server that accepts [requestsPerSecond]. */
internal fun requestIntervalMillis(requestsPerSecond: Double): Double =
    MILLIS_PER_SECOND / max(requestsPerSecond, MIN_REQUESTS_PER_SECOND)

/** Only a response can end a limit, so even a server that accepts nothing gets a few requests. */
private const val MIN_REQUESTS_PER_SECOND = 0.2

private const val MILLIS_PER_SECOND = 1_000.0
