/*
 * The byte side of a client's connection, in front of the HTTP codec: counts bytes, gives the codec
 * no more than the requests that may be in progress, and bounds what one connection makes the event
 * loop decode in one turn. A read of ordinary size passes without a copy or a new object.
 */
package mustarddale.instance.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit
import mustarddale.serving.connection.CloseReason
import mustarddale.serving.connection.ConnectionLimits
import mustarddale.serving.connection.ConnectionUsage

/** Guards one connection of [port]; [gate] is to be added behind the codec of HTTP/1. */
internal class ConnectionGuard(
    private val connections: ClientConnections,
    val port: ClientPort,
    limits: ConnectionLimits
) : ChannelDuplexHandler() {
    val usage = ConnectionUsage()
    val gate = RequestGate(this, usage, limits)
    private val pending = ArrayDeque<ByteBuf>()
    private lateinit var context: ChannelHandlerContext
    private var isPumping = false
    private var isTurnScheduled = false
    private var isReadingHeld = false
    private var wasReading = false
    private var isInHead = false
    private var headLines = 0
    private var hasLargeHead = false

    /** The address of the client. */
    val remoteAddress: String get() = context.channel().remoteAddress()?.toString().orEmpty()

    /** Whether the connection takes more of the answers. */
    val isWritable: Boolean get() = context.channel().isWritable

    /** Whether all that the connection has sent is in progress or answered. */
    val hasNothingWaiting: Boolean get() = pending.isEmpty() && !gate.isHolding

    /** Records that [elapsedMillis] have passed. */
    fun tick(elapsedMillis: Long, limits: ConnectionLimits) {
        val unreadBytes =
            context.channel().unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0L
        usage.isOpaque = !gate.isAttached && usage.bytesRead > PREFACE_BYTES
        usage.tick(elapsedMillis, unreadBytes, !context.channel().config().isAutoRead, limits)
    }

    /** Closes the connection, with a refusal if a request is known not to have run. */
    fun close(reason: CloseReason) {
        if (!usage.isEnding) connections.recordClosed(this, reason)
        val status = statusOf(reason)
        val isRefused = !usage.isEnding && status != null && gate.refuse(status)
        usage.isEnding = true
        releasePending()
        if (!isRefused || usage.stalledMillis > MAX_DISCARD_MILLIS) {
            context.close()
            return
        }
        updateReading()
        // A client that is still sending would lose the refusal with a connection that is reset.
        context.executor()
            .schedule({ context.close() }, MAX_DISCARD_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun statusOf(reason: CloseReason): Int? = when (reason) {
        CloseReason.HEAD_TOO_SLOW, CloseReason.BODY_TOO_SLOW -> STATUS_TIMEOUT
        CloseReason.TOO_MANY_FIELDS, CloseReason.TOO_MANY_TRAILERS -> STATUS_FIELDS
        CloseReason.TOO_MUCH_HELD -> STATUS_UNAVAILABLE
        CloseReason.CODING_UNKNOWN -> STATUS_NOT_IMPLEMENTED
        CloseReason.FRAMING_HOP_BY_HOP -> STATUS_BAD_REQUEST
        else -> null
    }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (msg !is ByteBuf) {
            ctx.fireChannelRead(msg)
            return
        }
        if (usage.isEnding) {
            msg.release()
            return
        }
        val size = msg.readableBytes()
        usage.bytesRead += size
        if (pending.isEmpty() && gate.isOpen && size <= SLICE_BYTES) {
            decode(msg)
        } else {
            usage.waitingBytes += size
            pending.addLast(msg)
            if (!isTurnScheduled) pump()
            updateReading()
        }
    }

    /** Gives the codec what the connection has sent, as far as its requests may begin. */
    fun pump() {
        if (isPumping || pending.isEmpty()) return
        isPumping = true
        val startCount = gate.decodedCount
        while (pending.isNotEmpty() && gate.isOpen && !usage.isEnding) {
            if (gate.decodedCount - startCount > MAX_DECODED_PER_TURN) {
                scheduleTurn()
                break
            }
            val first = pending.first()
            val size = gate.passableBytes(first.readableBytes(), SLICE_BYTES)
            usage.waitingBytes -= size
            if (size == first.readableBytes()) {
                decode(pending.removeFirst())
            } else {
                decode(first.readRetainedSlice(size))
            }
        }
        isPumping = false
        updateReading()
    }

    /**
     * Gives [bytes] to the codec. It makes objects of the fields of a head before the head has
     * ended, so the lines of large heads are counted here.
     */
    private fun decode(bytes: ByteBuf) {
        val size = bytes.readableBytes()
        val mayBeHead = gate.isAttached && !usage.isInBody
        if (!mayBeHead || !isInHead && size < COUNTED_BYTES) {
            context.fireChannelRead(bytes)
            isInHead = !usage.isInBody && usage.bytesRead > usage.requestEndBytes
            return
        }
        val start = bytes.readerIndex()
        val requestCount = usage.requestCount
        bytes.retain()
        context.fireChannelRead(bytes)
        isInHead = usage.requestCount == requestCount && !usage.isInBody
        if (isInHead) headLines += countLines(bytes, start, size) else headLines = 0
        bytes.release()
        if (usage.isEnding) return
        if (headLines > connections.maxHeaderFields) {
            close(CloseReason.TOO_MANY_FIELDS)
        } else if (!admitsFields(headLines)) {
            close(CloseReason.TOO_MUCH_HELD)
        }
    }

    /** Whether the connection may have a head with [count] fields in progress. */
    fun admitsFields(count: Int): Boolean {
        if (count <= connections.largeHeadFields || hasLargeHead) return true
        hasLargeHead = connections.tryAddLargeHead()
        return hasLargeHead
    }

    /** Records that no request of the connection is in progress. */
    fun endLargeHead() {
        if (hasLargeHead) connections.removeLargeHead()
        hasLargeHead = false
    }

    private fun countLines(bytes: ByteBuf, start: Int, size: Int): Int {
        var lines = 0
        var index = bytes.indexOf(start, start + size, LINE_FEED)
        while (index >= 0) {
            lines++
            index = bytes.indexOf(index + 1, start + size, LINE_FEED)
        }
        return lines
    }

    private fun scheduleTurn() {
        if (isTurnScheduled) return
        isTurnScheduled = true
        context.executor().execute {
            isTurnScheduled = false
            pump()
        }
    }

    /** Reads on once all that has been read is decoded, unless another handler has stopped it. */
    fun updateReading() {
        val config = context.channel().config()
        val shouldHold = !usage.isEnding && (pending.isNotEmpty() || gate.isHolding)
        if (shouldHold && (!isReadingHeld || config.isAutoRead)) {
            wasReading = config.isAutoRead
            config.isAutoRead = false
        } else if (!shouldHold && isReadingHeld && wasReading) {
            config.isAutoRead = true
        }
        isReadingHeld = shouldHold
    }

    override fun read(ctx: ChannelHandlerContext) {
        // The codec asks for more bytes on its own when it has not decoded a whole message.
        if (!isReadingHeld) ctx.read()
    }

    override fun write(ctx: ChannelHandlerContext, msg: Any, promise: ChannelPromise) {
        if (msg is ByteBuf) usage.bytesWritten += msg.readableBytes()
        ctx.write(msg, promise)
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (ctx.channel().isWritable) gate.resume()
        ctx.fireChannelWritabilityChanged()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        usage.isEnding = true
        releasePending()
        endLargeHead()
        connections.remove(this)
        ctx.fireChannelInactive()
    }

    override fun handlerRemoved(ctx: ChannelHandlerContext) {
        releasePending()
        endLargeHead()
        connections.remove(this)
    }

    private fun releasePending() {
        while (pending.isNotEmpty()) ReferenceCountUtil.release(pending.removeFirst())
        gate.releaseHeld()
        usage.waitingBytes = 0
    }

    private companion object {
        /**
         * Above the size of an ordinary head. The shortest requests have 18 bytes, so that a slice
         * makes the process hold at most 114 of them for a connection.
         */
        const val SLICE_BYTES = 2_048

        /** Chunks of one byte are decoded in about this number for each millisecond. */
        const val MAX_DECODED_PER_TURN = 512L

        /** A client gets a refusal within this time, or not at all. */
        const val MAX_DISCARD_MILLIS = 1_000L

        /** Above the size of most heads, which are not scanned; the shortest field has 4 bytes. */
        const val COUNTED_BYTES = 1_024

        /** A connection on which this many bytes are not HTTP/1 uses HTTP/2. */
        const val PREFACE_BYTES = 24
        const val LINE_FEED = '\n'.code.toByte()
        const val STATUS_BAD_REQUEST = 400
        const val STATUS_TIMEOUT = 408
        const val STATUS_FIELDS = 431
        const val STATUS_NOT_IMPLEMENTED = 501
        const val STATUS_UNAVAILABLE = 503
    }
}
