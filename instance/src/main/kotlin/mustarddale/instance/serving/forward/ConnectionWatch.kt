/*
 * Watches the connections to backend servers below the HTTP library. An answer without a length
 * ends with its connection; the library does not tell how such a connection ended.
 */
package mustarddale.instance.serving.forward

import com.linecorp.armeria.client.ConnectionPoolListener
import com.linecorp.armeria.common.SessionProtocol
import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.util.AttributeKey
import io.netty.util.AttributeMap
import java.io.IOException
import java.net.InetSocketAddress

/** Watches one connection, and restores request targets on it; belongs to its event loop. */
public class ConnectionWatch : ChannelDuplexHandler() {
    private var endsWithConnection = false
    private var hasFailed = false

    /** Whether the newest answer has no length and its connection has failed. */
    public val wasCut: Boolean get() = endsWithConnection && hasFailed

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (msg is HttpResponse) {
            endsWithConnection =
                !HttpUtil.isContentLengthSet(msg) && !HttpUtil.isTransferEncodingChunked(msg)
        }
        ctx.fireChannelRead(msg)
    }

    override fun write(ctx: ChannelHandlerContext, msg: Any, promise: ChannelPromise) {
        if (msg is HttpRequest) RequestTarget.restore(msg)
        ctx.write(msg, promise)
    }

    @Deprecated("as in the interface")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        if (cause is IOException) hasFailed = true
        ctx.fireExceptionCaught(cause)
    }

    /** Adds a watch to each new connection. */
    internal object Adder : ConnectionPoolListener {
        override fun connectionOpen(
            protocol: SessionProtocol,
            remoteAddr: InetSocketAddress,
            localAddr: InetSocketAddress,
            attrs: AttributeMap
        ) {
            val pipeline = (attrs as? Channel)?.pipeline() ?: return
            val codec = pipeline.context(HttpClientCodec::class.java) ?: return
            val watch = ConnectionWatch()
            pipeline.addAfter(codec.name(), null, watch)
            attrs.attr(KEY).set(watch)
        }

        override fun connectionClosed(
            protocol: SessionProtocol,
            remoteAddr: InetSocketAddress,
            localAddr: InetSocketAddress,
            attrs: AttributeMap
        ): Unit = Unit
    }

    internal companion object {
        private val KEY = AttributeKey.valueOf<ConnectionWatch>("connection-watch")

        /** Returns the watch on [channel], null if it has none. */
        fun on(channel: Channel?): ConnectionWatch? = channel?.attr(KEY)?.get()
    }
}
