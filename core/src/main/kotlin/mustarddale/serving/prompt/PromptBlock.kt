package mustarddale.serving.prompt

import kotlinx.serialization.Serializable

/**
 * A block of all requests whose prompts have all of [parts], one of which crashes servers.
 *
 * @property probeInMillis the time until one request may probe whether it still does.
 * @property probeIntervalMillis the time from that probe to the next.
 */
@Serializable
public data class PromptBlock(
    public val parts: Set<String>,
    public val probeInMillis: Long,
    public val probeIntervalMillis: Long
) {
    /** Whether a request whose prompt has [requestParts] is blocked. */
    public fun matches(requestParts: Collection<String>): Boolean = requestParts.containsAll(parts)
}
