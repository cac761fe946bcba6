/*
 * The HTTP side of a client's connection, behind the codec: lets few requests of it be in progress,
 * refuses those with too many fields or an unknown framing before the HTTP library copies them, and
 * joins small pieces of bodies, each of which would cost an object of its own.
 */
package mustarddale.instance.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import mustarddale.serving.connection.CloseReason
import mustarddale.serving.connection.ConnectionLimits
import mustarddale.serving.connection.ConnectionUsage
import mustarddale.serving.connection.RequestFraming

/** The requests of the connection of [guard]. */
internal class RequestGate(
    private val guard: ConnectionGuard,
    private val usage: ConnectionUsage,
    private val limits: ConnectionLimits
) : ChannelDuplexHandler() {
    private val held = ArrayDeque<Any>()
    private var context: ChannelHandlerContext? = null
    private var request: HttpRequest? = null
    private var joined: ByteBuf? = null
    private var hasAnswerBegun = false
    private var isInformational = false
    private var isRefused = false
    private var isResumeScheduled = false

    /** The number of messages and parts of them that the codec has decoded. */
    var decodedCount = 0L
        private set

    /** Whether requests wait for the answers to earlier ones. */
    val isHolding: Boolean get() = held.isNotEmpty()

    /** Whether the connection uses HTTP/1. */
    val isAttached: Boolean get() = context != null

    /** Whether the codec may decode more. */
    val isOpen: Boolean
        get() = !isAttached || held.isEmpty() && !isRefused && (usage.isInBody || mayBegin)

    private val mayBegin: Boolean
        get() = usage.openRequests < limits.maxOpenRequests && guard.isWritable

    /** Returns how many of [size] bytes can be decoded at once, of others [sliceBytes]. */
    fun passableBytes(size: Int, sliceBytes: Int): Int {
        if (size <= sliceBytes) return size
        val message = request ?: return sliceBytes
        val restOfBody = HttpUtil.getContentLength(message, 0L) - usage.bodyBytes
        return if (restOfBody >= size) size else sliceBytes
    }

    /** Answers the latest request with [status] as not run; false if it may have run. */
    fun refuse(status: Int): Boolean {
        val ctx = context ?: return false
        val isOnlyRequest = usage.openRequests == if (usage.isInBody) 1 else 0
        if (isRefused || hasAnswerBegun || !isOnlyRequest) return false
        isRefused = true
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.EMPTY_BUFFER
        )
        response.headers()
            .set(HttpHeaderNames.CONNECTION, "close")
            .set(HttpHeaderNames.CONTENT_LENGTH, "0")
        request?.headers()?.get(REQUEST_ID)?.let { response.headers().set(REQUEST_ID, it) }
        if (status == STATUS_UNAVAILABLE) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS)
        }
        ctx.writeAndFlush(response)
        return true
    }

    /** Drops what waits. */
    fun releaseHeld() {
        while (held.isNotEmpty()) ReferenceCountUtil.release(held.removeFirst())
        joined?.release()
        joined = null
    }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun handlerRemoved(ctx: ChannelHandlerContext) = releaseHeld()

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        decodedCount++
        when {
            isRefused -> ReferenceCountUtil.release(msg)

            held.isNotEmpty() || msg is HttpRequest && !mayTake(msg) -> {
                usage.waitingBytes += OBJECT_BYTES
                held.addLast(msg)
            }

            else -> take(ctx, msg)
        }
    }

    /** A request that is refused waits for the answers to those before it. */
    private fun mayTake(message: HttpRequest) =
        mayBegin && (usage.openRequests == 0 || faultOf(message) == null)

    /** Returns why [message] is refused by its head, null if it is not. */
    private fun faultOf(message: HttpRequest): CloseReason? {
        val headers = message.headers()
        if (headers.size() > limits.maxHeaderFields) return CloseReason.TOO_MANY_FIELDS
        return RequestFraming.faultOf(
            headers.getAll(HttpHeaderNames.TRANSFER_ENCODING),
            headers.getAll(HttpHeaderNames.CONNECTION)
        )
    }

    private fun take(ctx: ChannelHandlerContext, msg: Any) {
        when (msg) {
            is HttpRequest -> begin(ctx, msg)
            is LastHttpContent -> end(ctx, msg)
            is HttpContent -> takePiece(ctx, msg)
            else -> ctx.fireChannelRead(msg)
        }
    }

    private fun begin(ctx: ChannelHandlerContext, message: HttpRequest) {
        request = message
        usage.requestCount++
        usage.openRequests++
        usage.isInBody = true
        usage.bodyBytes = 0
        val fault = faultOf(message)
        when {
            fault != null -> guard.close(fault)

            !guard.admitsFields(message.headers().size()) ->
                guard.close(CloseReason.TOO_MUCH_HELD)

            else -> ctx.fireChannelRead(message)
        }
    }

    private fun end(ctx: ChannelHandlerContext, content: LastHttpContent) {
        val trailers = content.trailingHeaders().size()
        if (trailers > limits.maxTrailerFields || !guard.admitsFields(trailers)) {
            content.release()
            guard.close(CloseReason.TOO_MANY_TRAILERS)
            return
        }
        passJoined(ctx)
        request = null
        usage.isInBody = false
        usage.bodyBytes = 0
        usage.requestEndBytes = usage.bytesRead
        ctx.fireChannelRead(content)
    }

    /** The first piece is passed on, as most bodies have no other. */
    private fun takePiece(ctx: ChannelHandlerContext, content: HttpContent) {
        val size = content.content().readableBytes()
        val isFirst = usage.bodyBytes == 0L
        usage.bodyBytes += size
        if (isFirst || size >= SMALL_PIECE_BYTES) {
            passJoined(ctx)
            ctx.fireChannelRead(content)
            return
        }
        val buffer = joined ?: ctx.alloc().buffer(JOINED_BYTES).also { joined = it }
        buffer.writeBytes(content.content())
        content.release()
        if (buffer.readableBytes() > JOINED_BYTES - SMALL_PIECE_BYTES) passJoined(ctx)
    }

    private fun passJoined(ctx: ChannelHandlerContext) {
        val buffer = joined ?: return
        joined = null
        ctx.fireChannelRead(DefaultHttpContent(buffer))
    }

    override fun write(ctx: ChannelHandlerContext, msg: Any, promise: ChannelPromise) {
        if (isRefused) {
            ReferenceCountUtil.release(msg)
            promise.setSuccess()
            return
        }
        if (msg is HttpResponse) {
            isInformational = msg.status().codeClass() == HttpStatusClass.INFORMATIONAL
            if (!isInformational) hasAnswerBegun = true
        }
        val isEnd = msg is LastHttpContent && !isInformational
        ctx.write(msg, promise)
        if (isEnd) recordAnswer(ctx)
    }

    private fun recordAnswer(ctx: ChannelHandlerContext) {
        hasAnswerBegun = false
        if (usage.openRequests > 0) usage.openRequests--
        if (usage.openRequests == 0) guard.endLargeHead()
        if (isResumeScheduled || guard.hasNothingWaiting) return
        isResumeScheduled = true
        // The answer is written, and perhaps flushed, before the next request begins.
        ctx.executor().execute {
            isResumeScheduled = false
            resume()
        }
    }

    /** Begins requests that wait, as far as they may begin. */
    fun resume() {
        val ctx = context ?: return
        while (held.isNotEmpty() && !isRefused) {
            val first = held.first()
            if (first is HttpRequest && !mayTake(first)) break
            held.removeFirst()
            usage.waitingBytes -= OBJECT_BYTES
            take(ctx, first)
        }
        guard.pump()
        guard.updateReading()
    }

    private companion object {
        const val REQUEST_ID = "request-id"

        /** The heap that a request without fields takes when it has been decoded, rounded up. */
        const val OBJECT_BYTES = 1_024L

        /** Pieces of this size and more cost little for each byte. */
        const val SMALL_PIECE_BYTES = 512
        const val JOINED_BYTES = 8_192
        const val STATUS_UNAVAILABLE = 503

        /** Bodies that have stalled are dropped within about this time. */
        const val RETRY_AFTER_SECONDS = "0.500"
    }
}
