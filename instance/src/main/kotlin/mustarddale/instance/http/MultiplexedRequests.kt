/*
 * Bounds the requests in progress over HTTP/2, of which one connection can have many. Those over
 * HTTP/1 are bounded by their connections.
 */
package mustarddale.instance.http

import com.linecorp.armeria.server.ServiceRequestContext
import io.netty.channel.Channel
import io.netty.handler.codec.http2.Http2ConnectionAdapter
import io.netty.handler.codec.http2.Http2ConnectionHandler
import io.netty.handler.codec.http2.Http2Error
import io.netty.handler.codec.http2.Http2Stream
import io.netty.util.AttributeKey

/**
 * Counts the requests over HTTP/2; confined to the event loop.
 *
 * @param maxOpen the most requests of all connections that may be open.
 * @param maxOpenOfOne the most of one connection; more are reset as not processed.
 */
internal class MultiplexedRequests(private val maxOpen: Int, private val maxOpenOfOne: Int) {
    /** The number of requests that have begun and have not ended. */
    var openCount: Int = 0
        private set

    /** Counts the request of [ctx] until it ends; false if too many are open. */
    fun tryBegin(ctx: ServiceRequestContext): Boolean {
        if (!ctx.sessionProtocol().isMultiplex) return true
        ctx.log().partial().channel()?.let { prepareOnce(it) }
        if (openCount >= maxOpen) return false
        openCount++
        ctx.log().whenComplete().thenRun { openCount-- }
        return true
    }

    private fun prepareOnce(channel: Channel) {
        if (channel.attr(IS_PREPARED).getAndSet(true) == true) return
        val handler = channel.pipeline().get(Http2ConnectionHandler::class.java) ?: return
        // The limit in the settings is only in force once the client has acknowledged it.
        handler.connection().remote().maxActiveStreams(maxOpenOfOne)
        handler.connection().addListener(AnsweredStreams(channel, handler))
    }

    /** Resets streams that have been answered and whose client has not sent all of its request. */
    private class AnsweredStreams(
        private val channel: Channel,
        private val handler: Http2ConnectionHandler
    ) : Http2ConnectionAdapter() {
        override fun onStreamHalfClosed(stream: Http2Stream) {
            // The end of the response is being written, and the codec can't be called here.
            if (isAnswered(stream)) channel.eventLoop().execute { reset(stream) }
        }

        private fun reset(stream: Http2Stream) {
            val context = channel.pipeline().context(handler) ?: return
            if (!isAnswered(stream)) return
            val noError = Http2Error.NO_ERROR.code()
            handler.resetStream(context, stream.id(), noError, context.newPromise())
            context.flush()
        }

        private fun isAnswered(stream: Http2Stream) =
            stream.state() == Http2Stream.State.HALF_CLOSED_LOCAL
    }

    private companion object {
        val IS_PREPARED: AttributeKey<Boolean> =
            AttributeKey.valueOf(MultiplexedRequests::class.java, "isPrepared")
    }
}
