package mustarddale.instance.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import mustarddale.serving.response.BodyEnd

/** Sees what the codec has decoded of the latest response on a connection. */
internal class DecodedResponse : ChannelInboundHandlerAdapter() {
    private var markedEnd: BodyEnd = BodyEnd.Connection

    /** Whether no response is under way. */
    var hasEnded = true
        private set

    /** Whether the codec has failed, after which it takes no more responses. */
    var hasFailed = false
        private set

    /** The end of the body; the codec knows which responses have none. */
    val bodyEnd: BodyEnd get() = if (hasEnded) BodyEnd.Length(0) else markedEnd

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (msg is HttpObject && msg.decoderResult().isFailure) hasFailed = true
        if (msg is HttpResponse && !hasFailed) {
            hasEnded = false
            markedEnd = markedEndOf(msg)
        }
        if (msg is LastHttpContent) hasEnded = true
        ctx.fireChannelRead(msg)
    }

    private fun markedEndOf(response: HttpResponse): BodyEnd = when (BodyFraming.of(response)) {
        BodyFraming.LENGTH -> BodyEnd.Length(HttpUtil.getContentLength(response, 0L))
        BodyFraming.CHUNKS -> BodyEnd.LastChunk
        BodyFraming.CONNECTION_CLOSE -> BodyEnd.Connection
    }
}
