package mustarddale.instance.serving.leader

import mustarddale.serving.backend.Backend
import mustarddale.serving.residency.EngineOrder
import mustarddale.serving.residency.EngineReport
import mustarddale.serving.residency.OrderAnswer

/** Sends orders to engines and fetches their reports; calls time out by themselves, never throw. */
public interface EngineControlClient {
    /**
     * Sends [order] to [engine].
     *
     * @param leader the name of the instance that leads and sends the order.
     * @param fencingToken the term of [leader], by which an engine rejects orders of earlier ones.
     */
    public suspend fun sendOrder(
        engine: Backend,
        order: EngineOrder,
        leader: String,
        fencingToken: Long
    ): OrderAnswer

    /** Fetches the report of [engine] on its contents; null without a readable response. */
    public suspend fun fetchReport(engine: Backend): EngineReport?
}
