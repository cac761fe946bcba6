package mustarddale.instance.serving.leader

import mustarddale.serving.backend.Backend
import mustarddale.serving.residency.EngineOrder
import mustarddale.serving.residency.EngineReport
import mustarddale.serving.residency.OrderAnswer

/** Sends orders to engines and fetches their reports; calls time out by themselves, never throw. */
public interface EngineControlClient {
    /**
     * Sends [order] to [engine] for the leader [holder].
     *
     * @param fence the fencing token, by which an engine rejects orders of an earlier leader.
     */
    public suspend fun sendOrder(
        engine: Backend,
        order: EngineOrder,
        holder: String,
        fence: Long
    ): OrderAnswer

    /** Fetches the report of [engine] on its contents; null without a readable response. */
    public suspend fun fetchReport(engine: Backend): EngineReport?
}
