/*
 * Discards the body of a refused request. The refusal is written at once, but its response ends
 * only after the body, because the HTTP library closes the connection of a request that is not
 * complete, with which the caller could lose the refusal.
 */
package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpObject
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.stream.SubscriptionOption
import com.linecorp.armeria.server.ServiceRequestContext
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription

/** Reads and drops a body, and calls [onEnd] once: at its end, or after [MAX_MILLIS]. */
internal class UnreadBody private constructor(private val onEnd: () -> Unit) :
    Subscriber<HttpObject>,
    Runnable {
    private var timeout: Future<*>? = null
    private var hasEnded = false

    override fun onSubscribe(subscription: Subscription) = subscription.request(Long.MAX_VALUE)

    override fun onNext(item: HttpObject) {
        // Buffers of the connection are used without copies and are given back at once.
        if (item is HttpData) item.close()
    }

    override fun onError(cause: Throwable) = end()

    override fun onComplete() = end()

    /** Ends the wait for the rest of the body. */
    override fun run() = end()

    private fun end() {
        if (hasEnded) return
        hasEnded = true
        timeout?.cancel(false)
        onEnd()
    }

    companion object {
        /** The longest time for the rest of a refused body before its connection is closed. */
        const val MAX_MILLIS = 10_000L

        /** Discards the body of [request], whose connection is that of [ctx]. */
        fun discard(ctx: ServiceRequestContext, request: HttpRequest, onEnd: () -> Unit) {
            val body = UnreadBody(onEnd)
            val eventLoop = ctx.eventLoop().withoutContext()
            request.subscribe(body, eventLoop, SubscriptionOption.WITH_POOLED_OBJECTS)
            // Most bodies arrive with their head, so that a timeout is rarely needed.
            eventLoop.execute {
                if (!body.hasEnded) {
                    body.timeout = eventLoop.schedule(body, MAX_MILLIS, TimeUnit.MILLISECONDS)
                }
            }
        }
    }
}
