/*
 * Keeps a truncated response from being taken for a complete one. A response without a length ends
 * when its connection closes, and the HTTP library does not ask whether the connection has failed.
 */
package mustarddale.instance.http

import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException

/** What marks the end of a response body. */
public enum class BodyFraming {
    LENGTH,
    CHUNKS,
    CONNECTION_CLOSE;

    internal companion object {
        fun of(response: HttpResponse): BodyFraming = when {
            HttpUtil.isTransferEncodingChunked(response) -> CHUNKS
            HttpUtil.isContentLengthSet(response) -> LENGTH
            else -> CONNECTION_CLOSE
        }
    }
}

/** Guards the responses on one connection; runs on the connection's event loop. */
public class TruncationGuard : ChannelDuplexHandler() {
    private var hasFailed = false

    /** The framing of the latest response. */
    public var framing: BodyFraming = BodyFraming.LENGTH
        private set

    /** Drops the end of a response that only the failed connection has ended. */
    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (msg is HttpResponse) framing = BodyFraming.of(msg)
        if (msg is LastHttpContent && framing == BodyFraming.CONNECTION_CLOSE && hasFailed) {
            ReferenceCountUtil.release(msg)
        } else {
            ctx.fireChannelRead(msg)
        }
    }

    override fun write(ctx: ChannelHandlerContext, msg: Any, promise: ChannelPromise) {
        // The system reports a reset only once, and a write may be the first to see it.
        val observedPromise = promise.unvoid().addListener { recordFailure(it.cause()) }
        ctx.write(msg, observedPromise)
    }

    @Deprecated("deprecated in the interface")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        recordFailure(cause)
        ctx.fireExceptionCaught(cause)
    }

    private fun recordFailure(cause: Throwable?) {
        if (cause is IOException) hasFailed = true
    }
}
