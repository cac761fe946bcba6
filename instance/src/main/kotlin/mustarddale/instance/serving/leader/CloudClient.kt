package mustarddale.instance.serving.leader

import mustarddale.serving.scaling.DesiredEngines
import mustarddale.serving.usage.CallAnswer
import mustarddale.serving.usage.FixedWindow

/**
 * Calls the platform for the leader; failed calls are logged and not thrown.
 *
 * Each call names its [holder] and the term of its leadership as fencing token.
 */
public interface CloudClient {
    /** Reports the requests of [window]. */
    public suspend fun reportUsage(
        window: FixedWindow,
        holder: String,
        fencingToken: Long
    ): CallAnswer

    /** Orders the number of engines [order]. */
    public suspend fun orderEngines(
        order: DesiredEngines,
        holder: String,
        fencingToken: Long
    ): CallAnswer
}
