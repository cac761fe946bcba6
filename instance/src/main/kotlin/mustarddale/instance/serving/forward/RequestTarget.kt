/*
 * Keeps request targets as callers write them. The HTTP library normalises paths and queries on
 * both sides, which would change what a backend server sees; so the target travels in a header
 * between the two connections, and the library only ever sees the root path.
 */
package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.RequestHeaders
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.channel.CombinedChannelDuplexHandler
import io.netty.handler.codec.http.HttpRequest
import io.netty.util.AsciiString

/** The target of a request, with path and query. */
public object RequestTarget {
    private val header = AsciiString.cached("mustarddale-request-target")
    private const val ROOT = "/"

    /** Returns the target as the caller wrote it. */
    public fun of(headers: RequestHeaders): String = headers.get(header) ?: headers.path()

    /** Lets the connection of [pipeline] keep the targets of its callers. */
    internal fun keepIn(pipeline: ChannelPipeline) {
        pipeline.addFirst(Starter())
    }

    /** Puts the target of [request] back where it was. */
    internal fun restore(request: HttpRequest) {
        val target = request.headers().get(header) ?: return
        request.headers().remove(header)
        request.uri = target
    }

    /**
     * Adds the keeper as soon as the library has decided that the connection speaks HTTP/1. The
     * first bytes are passed on a few at a time, so the keeper is there before the first request.
     */
    private class Starter : ChannelInboundHandlerAdapter() {
        private var passedBytes = 0

        override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
            if (msg is ByteBuf) {
                while (msg.isReadable && passedBytes < MAX_STEPPED_BYTES && isWaiting(ctx)) {
                    passedBytes++
                    ctx.fireChannelRead(msg.readRetainedSlice(1))
                }
                if (!isWaiting(ctx) || passedBytes >= MAX_STEPPED_BYTES) ctx.pipeline().remove(this)
            }
            ctx.fireChannelRead(msg)
        }

        private fun isWaiting(ctx: ChannelHandlerContext): Boolean {
            // The library's codec is a class of its own; it is the only one that combines two
            // handlers.
            val codec =
                ctx.pipeline().context(CombinedChannelDuplexHandler::class.java) ?: return true
            if (ctx.pipeline().get(Keeper::class.java) == null) {
                ctx.pipeline().addAfter(codec.name(), null, Keeper())
            }
            return false
        }
    }

    private class Keeper : ChannelInboundHandlerAdapter() {
        override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
            if (msg is HttpRequest) {
                msg.headers().remove(header)
                if (msg.uri().startsWith(ROOT)) {
                    msg.headers().set(header, msg.uri())
                    msg.uri = ROOT
                }
            }
            ctx.fireChannelRead(msg)
        }
    }

    /** The length of the HTTP/2 preface, by which the library must have decided. */
    private const val MAX_STEPPED_BYTES = 24
}
