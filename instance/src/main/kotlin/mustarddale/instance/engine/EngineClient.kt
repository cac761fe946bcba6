package mustarddale.instance.engine

import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.json.JsonObject
import mustarddale.answer.StreamFrame
import mustarddale.config.BackendServer
import mustarddale.memory.OrderKind
import mustarddale.memory.ReportNumber
import mustarddale.routing.LoadReport

/**
 * A request for one completion, from its start or from a later token on.
 *
 * @property body the OpenAI request body.
 * @property resumeOffset the offset of the first token that is still missing.
 * @property resumeText the text of the tokens before [resumeOffset].
 */
public data class EngineRequest(
    public val requestId: String,
    public val body: JsonObject,
    public val resumeOffset: Long = 0,
    public val resumeText: String = ""
)

/**
 * An order to an engine to load or unload an artifact (a model or an adapter).
 *
 * @property fencingToken grows with each order, so that the engine can refuse an outdated one.
 */
public data class EngineOrder(
    public val kind: OrderKind,
    public val artifact: String,
    public val memoryBytes: Long,
    public val fencingToken: Long
)

/** The response of an engine to an order. */
public sealed interface OrderAnswer {
    /** The engine accepted the order; [lastReport] is its last load report before that. */
    public data class Accepted(public val lastReport: ReportNumber) : OrderAnswer

    /** The engine did not accept the order and will not execute it. */
    public data object Refused : OrderAnswer

    /** The engine may have accepted the order, or may accept it later. */
    public data class Unknown(public val reason: String) : OrderAnswer
}

/** An event in the response stream of an engine. */
public sealed interface EngineEvent {
    /** A part of the completion. */
    public data class Frame(public val frame: StreamFrame) : EngineEvent

    /** A sign that the connection is alive, without content. */
    public data object KeepAlive : EngineEvent

    /** The engine accepted the request although it is in cold start, where it takes few. */
    public data object Cold : EngineEvent

    /**
     * The request did not run.
     *
     * @property wasReached whether the engine refused it; false if the engine was not reached.
     */
    public data class NotExecuted(public val reason: String, public val wasReached: Boolean) :
        EngineEvent

    /** The engine rejected the request as invalid. */
    public data class InvalidRequest(public val message: String) : EngineEvent

    /** The stream failed or ended before its last frame. */
    public data class Interrupted(public val reason: String) : EngineEvent
}

/** A client for model engines. */
public interface EngineClient {
    /** Returns the load report of [server], null if it cannot be fetched. */
    public suspend fun fetchReport(server: BackendServer): LoadReport?

    /** Starts the completion for [request]; the flow ends after its last frame or first failure. */
    public fun startCompletion(server: BackendServer, request: EngineRequest): Flow<EngineEvent>

    /** Resumes the completion for [request] at its first missing token, on a new connection. */
    public fun resume(server: BackendServer, request: EngineRequest): Flow<EngineEvent>

    /** Cancels the request with the id [requestId] on [server]; ignores failures. */
    public suspend fun cancel(server: BackendServer, requestId: String)

    /** Sends [order] to [server] without any retry. */
    public suspend fun sendOrder(server: BackendServer, order: EngineOrder): OrderAnswer
}
