/*
 * Keeps responses that break the grammar of HTTP/1 from the codec, which would repair them. It sits
 * between the network and the codec, and a second handler behind the codec tells it how each body
 * is framed.
 */
package mustarddale.instance.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import java.net.ProtocolException
import mustarddale.serving.response.FieldSyntax
import mustarddale.serving.response.ResponsePart
import mustarddale.serving.response.ResponseSyntax

/** Guards one connection; runs on its event loop. */
internal class ResponseSyntaxGuard : ChannelInboundHandlerAdapter() {
    private val syntax = ResponseSyntax()
    private val decoded = DecodedResponse()

    /** What is wrong with a response, null if nothing; no further one is read. */
    private var fault: String? = null
    private var isDiscarding = false

    /** The sound lines of the head that is arriving. */
    private val headLines = ArrayList<String>()

    /** The beginning of a line whose end has not arrived. */
    private var partialLine = Unpooled.EMPTY_BUFFER

    /** The handler to add behind the codec. */
    val codecObserver: ChannelInboundHandlerAdapter get() = decoded

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (msg !is ByteBuf) {
            ctx.fireChannelRead(msg)
            return
        }
        val input = takePartialLine(msg)
        try {
            while (input.isReadable && !isDiscarding) check(ctx, input)
        } finally {
            input.release()
        }
    }

    /** Passes on what has arrived of a head, so that the codec sees that it was cut off. */
    override fun channelInactive(ctx: ChannelHandlerContext) {
        val rest = takePartialLine(Unpooled.EMPTY_BUFFER)
        if (rest.isReadable && !isDiscarding) ctx.fireChannelRead(rest) else rest.release()
        ctx.fireChannelInactive()
    }

    private fun takePartialLine(next: ByteBuf): ByteBuf {
        val first = partialLine
        partialLine = Unpooled.EMPTY_BUFFER
        return if (first.isReadable) Unpooled.wrappedBuffer(first, next) else next
    }

    /** Checks the [input] up to the end of a head or a response, and passes on what is sound. */
    private fun check(ctx: ChannelHandlerContext, input: ByteBuf) {
        var end = input.readerIndex()
        do {
            val start = end
            end = acceptPart(input, start)
            val isAtBoundary = syntax.isHeadEnd || syntax.isBetweenResponses
        } while (end > start && end < input.writerIndex() && !isAtBoundary)
        pass(ctx, input, end)
        when {
            decoded.hasFailed -> isDiscarding = true

            fault != null -> reject(ctx, input)

            syntax.isHeadEnd -> beginBody()

            syntax.isBetweenResponses && !decoded.hasEnded -> {
                fault = "the response has no end"
                reject(ctx, input)
            }

            syntax.next == ResponsePart.Line -> keepPartialLine(ctx, input)
        }
    }

    /** Returns where the next part ends in [input], [start] if it is malformed or has no end. */
    private fun acceptPart(input: ByteBuf, start: Int): Int = when (val part = syntax.next) {
        ResponsePart.Line -> acceptLine(input, start)

        is ResponsePart.Bytes -> {
            val count = minOf(part.count, (input.writerIndex() - start).toLong())
            syntax.acceptBytes(count)
            start + count.toInt()
        }

        ResponsePart.Rest -> input.writerIndex()
    }

    private fun acceptLine(input: ByteBuf, start: Int): Int {
        val lineFeed = input.indexOf(start, input.writerIndex(), LINE_FEED)
        if (lineFeed < 0) return start
        val line = textOf(input, start, lineFeed).removeSuffix("\r")
        fault = syntax.acceptLine(line)
        if (fault != null) return start
        // While no response is under way, a line with text is one of a head.
        if (decoded.hasEnded && line.isNotEmpty()) headLines += line
        return lineFeed + 1
    }

    private fun textOf(input: ByteBuf, start: Int, end: Int): String =
        input.toString(start, end - start, Charsets.ISO_8859_1)

    private fun beginBody() {
        headLines.clear()
        syntax.beginBody(decoded.bodyEnd)
    }

    private fun pass(ctx: ChannelHandlerContext, input: ByteBuf, end: Int) {
        val count = end - input.readerIndex()
        if (count > 0) ctx.fireChannelRead(input.readRetainedSlice(count))
    }

    /** Keeps the rest of [input] if it has no end of a line. */
    private fun keepPartialLine(ctx: ChannelHandlerContext, input: ByteBuf) {
        if (input.indexOf(input.readerIndex(), input.writerIndex(), LINE_FEED) >= 0) return
        if (input.readableBytes() > MAX_LINE_BYTES) {
            fault = "a line is longer than $MAX_LINE_BYTES bytes"
            reject(ctx, input)
        } else {
            partialLine = input.readBytes(input.readableBytes())
        }
    }

    /** Ends the response with its [fault] in place of the [rest], and closes the connection. */
    private fun reject(ctx: ChannelHandlerContext, rest: ByteBuf) {
        isDiscarding = true
        val end = if (decoded.hasEnded) failedHead(rest) else DefaultLastHttpContent()
        end.setDecoderResult(DecoderResult.failure(ProtocolException(fault)))
        ctx.fireChannelRead(end)
        ctx.close()
    }

    /** Returns a head with the sound fields of the malformed one, as far as it has arrived. */
    private fun failedHead(rest: ByteBuf): FullHttpResponse {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, UNKNOWN_STATUS)
        val restLines = textOf(rest, rest.readerIndex(), rest.writerIndex())
            .substringBeforeLast('\n', "")
            .splitToSequence('\n')
            .map { it.removeSuffix("\r") }
            .takeWhile { it.isNotEmpty() }
        (headLines.asSequence() + restLines).filter { FieldSyntax.faultOf(it) == null }.forEach {
            response.headers().add(it.substringBefore(':'), it.substringAfter(':').trim(' ', '\t'))
        }
        return response
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()

        /** Above the longest line that the codec accepts. */
        const val MAX_LINE_BYTES = 16 * 1_024

        /** Stands for a response without a status line, as it does in the codec. */
        val UNKNOWN_STATUS: HttpResponseStatus = HttpResponseStatus.valueOf(999)
    }
}
