/*
 * Brings one admitted request to a backend server and its answer to the caller. A request that may
 * run only once is sent again only if the server before did not run it. A stream that may be
 * resumed goes on behind the last whole event at another server. Whatever ends an answer early also
 * ends the caller's connection, so that a part never looks like the whole.
 */
package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.error.Refusal
import mustarddale.instance.serving.protocol.ServingProtocol
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.backend.BackendSelector
import mustarddale.time.Clock

/** Where an answer goes. */
public interface AnswerWriter {
    /** Whether the answer's head has been written. */
    public val hasBegun: Boolean

    /** Writes the answer's head. */
    public fun head(headers: ResponseHeaders)

    /** Writes a part of the body and waits until it has been taken. */
    public suspend fun part(data: HttpData)

    /** Ends the answer as complete. */
    public fun complete()

    /** Breaks the answer off; the caller sees that it is not complete. */
    public fun breakOff(reason: String)

    /** Writes a refusal as the whole answer. */
    public fun refuse(refusal: Refusal)
}

/** Forwards requests by the beliefs in [state]. */
public class Forwarder(
    internal val state: ServingState,
    internal val choice: BackendSelector,
    internal val exchange: BackendExchange,
    internal val protocol: ServingProtocol,
    internal val homeDomain: String,
    internal val clock: Clock
) {
    /** Forwards [request] and writes the answer to [writer]. */
    public suspend fun forward(request: Admitted, writer: AnswerWriter) {
        val forwarding = Forwarding(this, request, writer)
        val leftMillis = request.giveUpAtMillis - clock.monotonicMillis()
        if (leftMillis > 0 && withTimeoutOrNull(leftMillis) { forwarding.run() } != null) return
        forwarding.timedOut()
    }
}
