/*
 * Preserves request targets exactly as callers send them. The HTTP library normalises paths and
 * queries on both connections, which would change what a backend server receives. So a header
 * carries the target through the library, which sees only the root path.
 */
package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.RequestHeaders
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.channel.ChannelPromise
import io.netty.channel.CombinedChannelDuplexHandler
import io.netty.handler.codec.http.HttpRequest
import io.netty.util.AsciiString

/** The target of a request, which is its path and query. */
public object RequestTarget {
    private val targetHeader = AsciiString.cached("mustarddale-request-target")
    private const val ROOT = "/"

    /** Returns the target as the caller sent it. */
    public fun of(headers: RequestHeaders): String = headers.get(targetHeader) ?: headers.path()

    /**
     * Preserves the targets of all requests on the connection of [pipeline], and adds [gate] behind
     * its codec of HTTP/1.
     */
    internal fun preserveIn(pipeline: ChannelPipeline, gate: ChannelHandler) {
        pipeline.addFirst(PreserverInstaller(gate))
    }

    /** Moves the preserved target of each request from the header back to the request line. */
    @ChannelHandler.Sharable
    internal object Restorer : ChannelOutboundHandlerAdapter() {
        override fun write(ctx: ChannelHandlerContext, msg: Any, promise: ChannelPromise) {
            if (msg is HttpRequest) restore(msg)
            ctx.write(msg, promise)
        }

        private fun restore(request: HttpRequest) {
            val target = request.headers().get(targetHeader) ?: return
            request.headers().remove(targetHeader)
            request.uri = target
        }
    }

    /**
     * Adds a [TargetPreserver] once the library has detected that the connection uses HTTP/1. The
     * first bytes are passed on one at a time, so that it is added before the first request.
     */
    private class PreserverInstaller(private val gate: ChannelHandler) :
        ChannelInboundHandlerAdapter() {
        private var bytesPassed = 0

        override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
            if (msg is ByteBuf) {
                while (msg.isReadable && bytesPassed < PREFACE_BYTES && isUndetected(ctx)) {
                    bytesPassed++
                    ctx.fireChannelRead(msg.readRetainedSlice(1))
                }
                if (!isUndetected(ctx) || bytesPassed >= PREFACE_BYTES) ctx.pipeline().remove(this)
            }
            ctx.fireChannelRead(msg)
        }

        /** Returns whether the library has not yet detected the protocol. */
        private fun isUndetected(ctx: ChannelHandlerContext): Boolean {
            // The library uses a codec class of its own; no other handler in the pipeline combines
            // two handlers.
            val codec =
                ctx.pipeline().context(CombinedChannelDuplexHandler::class.java) ?: return true
            if (ctx.pipeline().get(TargetPreserver::class.java) == null) {
                ctx.pipeline().addAfter(codec.name(), null, TargetPreserver())
                ctx.pipeline().addAfter(codec.name(), null, gate)
            }
            return false
        }
    }

    /** Moves the target of each request into the header and leaves the root path. */
    private class TargetPreserver : ChannelInboundHandlerAdapter() {
        override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
            if (msg is HttpRequest) {
                msg.headers().remove(targetHeader)
                if (msg.uri().startsWith(ROOT)) {
                    msg.headers().set(targetHeader, msg.uri())
                    msg.uri = ROOT
                }
            }
            ctx.fireChannelRead(msg)
        }
    }

    /** The length of the HTTP/2 preface, after which the library has detected the protocol. */
    private const val PREFACE_BYTES = 24
}
