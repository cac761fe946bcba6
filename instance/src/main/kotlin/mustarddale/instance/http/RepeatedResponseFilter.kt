package mustarddale.instance.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.net.InetSocketAddress

/**
 * Removes the copy that a server has written behind its response if only the end of the connection
 * ends both.
 */
internal class RepeatedResponseFilter(private val correlation: ResponseCorrelation) :
    ChannelInboundHandlerAdapter() {
    private var scanner: RepeatedHeadScanner? = null
    private var responseId: String? = null
    private var status = 0
    private var removedBytes = 0L

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (msg is HttpResponse) scanner = scannerFor(msg)
        val scanner = scanner
        if (scanner != null && msg is HttpContent) {
            scan(ctx, scanner, msg)
        } else {
            ctx.fireChannelRead(msg)
        }
    }

    private fun scannerFor(response: HttpResponse): RepeatedHeadScanner? {
        if (BodyFraming.of(response) != BodyFraming.CONNECTION_CLOSE) return null
        val id = response.headers().get(correlation.idHeader) ?: return null
        responseId = id
        status = response.status().code()
        val statusLine = "${response.protocolVersion().text()} ${response.status()}"
        return RepeatedHeadScanner(statusLine.trimEnd(), correlation.idHeader.toString(), id)
    }

    private fun scan(ctx: ChannelHandlerContext, scanner: RepeatedHeadScanner, msg: HttpContent) {
        val bytes = ByteBufUtil.getBytes(msg.content())
        val passedBytes = scanner.scan(bytes)
        if (passedBytes === bytes && msg !is LastHttpContent) {
            ctx.fireChannelRead(msg)
            return
        }
        pass(ctx, passedBytes)
        removedBytes += bytes.size - passedBytes.size
        if (msg is LastHttpContent) end(ctx, scanner, msg) else ReferenceCountUtil.release(msg)
    }

    /** Passes the end on, unless it cannot be told; the response then counts as cut off. */
    private fun end(
        ctx: ChannelHandlerContext,
        scanner: RepeatedHeadScanner,
        end: LastHttpContent
    ) {
        if (scanner.hasFoundCopy) reportCopy(ctx)
        val lastBytes = scanner.finish()
        if (lastBytes != null) {
            pass(ctx, lastBytes)
            ctx.fireChannelRead(end.replace(Unpooled.EMPTY_BUFFER))
        }
        end.release()
    }

    private fun reportCopy(ctx: ChannelHandlerContext) {
        val address = ctx.channel().remoteAddress() as? InetSocketAddress
        correlation.listener.onUnmatched(
            UnmatchedResponse(
                kind = UnmatchedKind.SKIPPED,
                reason = "it repeats the response before it, which has no length",
                server = address?.let { "${it.hostString}:${it.port}" } ?: "unknown",
                connection = ctx.channel().id().asShortText(),
                dueId = responseId,
                seenId = responseId,
                status = status,
                bytes = removedBytes,
                ageMillis = null
            )
        )
    }

    private fun pass(ctx: ChannelHandlerContext, bytes: ByteArray) {
        val content: ByteBuf = Unpooled.wrappedBuffer(bytes)
        if (bytes.isNotEmpty()) ctx.fireChannelRead(DefaultHttpContent(content))
    }
}
