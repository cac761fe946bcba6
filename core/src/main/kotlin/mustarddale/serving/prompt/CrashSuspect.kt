package mustarddale.serving.prompt

import kotlinx.serialization.Serializable

/**
 * A request that had no answer yet when the connection to its server was lost.
 *
 * @property server identifies one run of the server.
 * @property parts the shared parts of the request's prompt.
 * @property service the service of the server.
 * @property digest identifies the request by its content and its client account.
 */
@Serializable
public data class CrashSuspect(
    public val server: String,
    public val request: String,
    public val parts: List<String>,
    public val service: String = "",
    public val digest: String = ""
)
