package mustarddale.instance.engine

import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.json.JsonObject
import mustarddale.answer.StreamFrame
import mustarddale.config.BackendServer
import mustarddale.memory.OrderKind
import mustarddale.memory.ReportNumber
import mustarddale.routing.LoadReport

/**
 * A request for one answer.
 *
 * @property body the OpenAI request body.
 * @property fromOffset the first token that is still missing.
 * @property soFar the text of the tokens before [fromOffset].
 */
public data class EngineCall(
    public val requestId: String,
    public val body: JsonObject,
    public val fromOffset: Long = 0,
    public val soFar: String = ""
)

/** An order to an engine; [fence] is its fencing number. */
public data class EngineOrder(
    public val kind: OrderKind,
    public val artifact: String,
    public val memoryBytes: Long,
    public val fence: Long
)

/** What an engine said to an order. */
public sealed interface OrderAnswer {
    /** It has taken the order; [lastReport] is its last report before that. */
    public data class Accepted(public val lastReport: ReportNumber) : OrderAnswer

    /** It has not taken the order and will not. */
    public data object Refused : OrderAnswer

    /** It may have taken the order, or may take it later. */
    public data class Unknown(public val reason: String) : OrderAnswer
}

/** What comes from an engine while it answers. */
public sealed interface EngineEvent {
    /** A part of the answer. */
    public data class Frame(public val frame: StreamFrame) : EngineEvent

    /** A sign of life. */
    public data object Alive : EngineEvent

    /** The engine takes the request although it is cold. */
    public data object Cold : EngineEvent

    /** The engine was not reached, or, if it [wasReached], refused before running. */
    public data class NotRun(public val reason: String, public val wasReached: Boolean) :
        EngineEvent

    /** The engine says that the request itself is wrong. */
    public data class Invalid(public val message: String) : EngineEvent

    /** The stream ended or broke before its last frame. */
    public data class Cut(public val reason: String) : EngineEvent
}

/** A model engine. */
public interface EngineClient {
    /** Asks [server] for its load report; null if there is no answer. */
    public suspend fun fetchReport(server: BackendServer): LoadReport?

    /** Starts the answer to [call]; the flow ends after its last frame or its first failure. */
    public fun startCompletion(server: BackendServer, call: EngineCall): Flow<EngineEvent>

    /** Takes up the answer to [call] again at its first missing token, on a new connection. */
    public fun resume(server: BackendServer, call: EngineCall): Flow<EngineEvent>

    /** Cancels the request called [requestId]. */
    public suspend fun cancel(server: BackendServer, requestId: String)

    /** Sends [order]. */
    public suspend fun sendOrder(server: BackendServer, order: EngineOrder): OrderAnswer
}
