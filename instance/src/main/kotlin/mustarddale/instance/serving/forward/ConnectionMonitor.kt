/*
 * Monitors the connections to backend servers below the HTTP library. A response without a length
 * ends when its connection closes, and the library does not report whether that was an error.
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

/** What marks the end of a response body. */
public enum class BodyFraming { LENGTH, CHUNKS, CONNECTION_CLOSE }

/**
 * Monitors one connection and restores request targets on it; runs on the connection's event loop.
 */
public class ConnectionMonitor : ChannelDuplexHandler() {
    private var hasFailed = false

    /** The framing of the latest response. */
    public var framing: BodyFraming = BodyFraming.LENGTH
        private set

    /** Whether the latest response has no length and its connection has failed. */
    public val wasTruncated: Boolean get() = framing == BodyFraming.CONNECTION_CLOSE && hasFailed

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (msg is HttpResponse) framing = framingOf(msg)
        ctx.fireChannelRead(msg)
    }

    private fun framingOf(response: HttpResponse): BodyFraming = when {
        HttpUtil.isTransferEncodingChunked(response) -> BodyFraming.CHUNKS
        HttpUtil.isContentLengthSet(response) -> BodyFraming.LENGTH
        else -> BodyFraming.CONNECTION_CLOSE
    }

    override fun write(ctx: ChannelHandlerContext, msg: Any, promise: ChannelPromise) {
        if (msg is HttpRequest) RequestTarget.restore(msg)
        ctx.write(msg, promise)
    }

    @Deprecated("deprecated in the interface")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        if (cause is IOException) hasFailed = true
        ctx.fireExceptionCaught(cause)
    }

    /** Adds a monitor to each new connection. */
    internal object Installer : ConnectionPoolListener {
        override fun connectionOpen(
            protocol: SessionProtocol,
            remoteAddr: InetSocketAddress,
            localAddr: InetSocketAddress,
            attrs: AttributeMap
        ) {
            val pipeline = (attrs as? Channel)?.pipeline() ?: return
            val codec = pipeline.context(HttpClientCodec::class.java) ?: return
            val monitor = ConnectionMonitor()
            pipeline.addAfter(codec.name(), null, monitor)
            attrs.attr(KEY).set(monitor)
        }

        override fun connectionClosed(
            protocol: SessionProtocol,
            remoteAddr: InetSocketAddress,
            localAddr: InetSocketAddress,
            attrs: AttributeMap
        ): Unit = Unit
    }

    internal companion object {
        private val KEY = AttributeKey.valueOf<ConnectionMonitor>("connection-watch")

        /** Returns the monitor of [channel], null if it has none. */
        fun on(channel: Channel?): ConnectionMonitor? = channel?.attr(KEY)?.get()
    }
}
