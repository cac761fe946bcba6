/*
 * Reads the body of a request within the buffer budget. A body for which there is no room is read
 * on and dropped, so that its caller gets a refusal before it has sent all of it, and does not lose
 * the refusal with a connection that is reset.
 */
package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpObject
import com.linecorp.armeria.common.HttpRequest
import java.util.concurrent.CompletableFuture
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withTimeoutOrNull
import mustarddale.serving.buffer.BufferBudget
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription

/** Reads the body of [request] into memory that it takes from [budget]. */
internal class RequestBodyReader(private val request: HttpRequest, budget: BufferBudget) {
    private val reservation = budget.reserve()
    private val body = CompletableFuture<RequestBody?>()
    private val end = CompletableFuture<Unit>()
    private var buffer = NO_BYTES
    private var size = 0

    /** Completes when the caller has sent the whole body. */
    val whenEnded: CompletableFuture<Unit> get() = end

    /** Reads the body; completes with null as soon as there is no room for it. */
    fun read(): CompletableFuture<RequestBody?> {
        val length = request.headers().contentLength()
        if (length in 1..MAX_ANNOUNCED_BYTES) tryGrow(length)
        request.subscribe(Collector())
        return body
    }

    /**
     * Waits for the end of the body while it makes the least progress, or until there is no room
     * for it; false if it stalls.
     */
    suspend fun arrivesSteadily(): Boolean {
        while (!body.isDone) {
            val seenBytes = size
            withTimeoutOrNull(WINDOW_MILLIS) { body.handle { _, _ -> }.await() }
            if (!body.isDone && size - seenBytes < LEAST_WINDOW_BYTES) return false
        }
        return true
    }

    /** Gives the memory of the body back and drops what still arrives. */
    fun release() {
        body.complete(null)
        buffer = NO_BYTES
        reservation.release()
    }

    private fun tryGrow(capacity: Long): Boolean {
        val isGranted = capacity <= Int.MAX_VALUE && reservation.tryResize(capacity)
        if (isGranted) {
            buffer = buffer.copyOf(capacity.toInt())
        } else {
            release()
        }
        return isGranted
    }

    private fun append(data: HttpData) {
        val newSize = size + data.length()
        if (newSize > buffer.size && !tryGrow(maxOf(2L * buffer.size, newSize.toLong()))) return
        data.array().copyInto(buffer, size)
        size = newSize
    }

    private fun complete() {
        if (body.isDone) return
        val bytes = if (buffer.size > size) buffer.copyOf(size) else buffer
        buffer = NO_BYTES
        reservation.tryResize(size.toLong())
        body.complete(RequestBody(HttpData.wrap(bytes), reservation))
    }

    private inner class Collector : Subscriber<HttpObject> {
        override fun onSubscribe(subscription: Subscription) = subscription.request(Long.MAX_VALUE)

        override fun onNext(item: HttpObject) {
            if (item is HttpData && !body.isDone) append(item)
        }

        override fun onError(cause: Throwable) {
            body.completeExceptionally(cause)
            release()
            end.complete(Unit)
        }

        override fun onComplete() {
            complete()
            end.complete(Unit)
        }
    }

    private companion object {
        /** Above the operators' limit; the server ends a longer body where it exceeds its limit. */
        const val MAX_ANNOUNCED_BYTES = 8L * 1_024 * 1_024

        /** The time in which [LEAST_WINDOW_BYTES] have to arrive, as over HTTP/1. */
        const val WINDOW_MILLIS = 10_000L
        const val LEAST_WINDOW_BYTES = 2_000
        val NO_BYTES = ByteArray(0)
    }
}
