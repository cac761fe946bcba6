package mustarddale.instance.serving.leader

import mustarddale.serving.backend.Backend
import mustarddale.serving.residency.EngineOrder
import mustarddale.serving.residency.EngineReport
import mustarddale.serving.residency.OrderAnswer

/** Orders to engines and their reports. Calls have their own time limits and never throw. */
public interface EngineControlClient {
    /** Gives [order] to [engine] on behalf of [holder] with the fencing token [fence]. */
    public suspend fun sendOrder(
        engine: Backend,
        order: EngineOrder,
        holder: String,
        fence: Long
    ): OrderAnswer

    /** Asks [engine] what it holds; null if it gave no answer that can be read. */
    public suspend fun fetchReport(engine: Backend): EngineReport?
}
