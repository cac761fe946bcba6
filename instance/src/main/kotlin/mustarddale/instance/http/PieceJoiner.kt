package mustarddale.instance.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent

/**
 * Joins the small pieces of a response that one read has brought. Each piece costs an object for as
 * long as the caller does not read, so that short chunks would take many times their bytes. Nothing
 * is kept beyond the read, and a piece that comes alone is passed on as it is.
 */
internal class PieceJoiner : ChannelInboundHandlerAdapter() {
    private var joined: ByteBuf? = null
    private var hasPassedPiece = false

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        val isPiece = msg is HttpContent && msg !is LastHttpContent
        val isSmall = isPiece && (msg as HttpContent).content().readableBytes() < SMALL_PIECE_BYTES
        if (isSmall && hasPassedPiece && msg.decoderResult().isSuccess) {
            val buffer = joined ?: ctx.alloc().buffer(JOINED_BYTES).also { joined = it }
            buffer.writeBytes(msg.content())
            msg.release()
            if (buffer.readableBytes() > JOINED_BYTES - SMALL_PIECE_BYTES) passJoined(ctx)
        } else {
            passJoined(ctx)
            hasPassedPiece = isPiece
            ctx.fireChannelRead(msg)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        passJoined(ctx)
        hasPassedPiece = false
        ctx.fireChannelReadComplete()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        passJoined(ctx)
        ctx.fireChannelInactive()
    }

    override fun handlerRemoved(ctx: ChannelHandlerContext) {
        joined?.release()
        joined = null
    }

    private fun passJoined(ctx: ChannelHandlerContext) {
        val buffer = joined ?: return
        joined = null
        ctx.fireChannelRead(DefaultHttpContent(buffer))
    }

    private companion object {
        /** Pieces of this size and more cost little for each byte. */
        const val SMALL_PIECE_BYTES = 512
        const val JOINED_BYTES = 4_096
    }
}
