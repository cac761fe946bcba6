/*
 * Passes on only the responses that answer the request due on a connection. It sits between the
 * codec and the client, so that everything behind it sees no other response: extra ones are
 * skipped while the connection stays in use, and what cannot be told apart fails the request.
 */
package mustarddale.instance.http

import com.linecorp.armeria.client.UnprocessedRequestException
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.PrematureChannelClosureException
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import java.net.InetSocketAddress
import java.net.ProtocolException
import mustarddale.serving.response.ObservedHead
import mustarddale.serving.response.ResponseMatcher
import mustarddale.serving.response.ResponseVerdict
import mustarddale.time.Clock

/** How the requests and responses of a kind of server name the request that they belong to. */
public data class ResponseCorrelation(
    public val idHeader: CharSequence,
    public val clock: Clock,
    public val listener: UnmatchedResponseListener
)

/**
 * A response that could not be told from other bytes. Its server may still answer the request,
 * unless the bytes are a malformed answer to it and [isAnswered].
 */
public data class GivenUpResponse(public val reason: String, public val isAnswered: Boolean)

/** Correlates the responses on one connection; runs on the connection's event loop. */
internal class ResponseCorrelator(private val correlation: ResponseCorrelation) :
    ChannelDuplexHandler() {
    private enum class Mode { PASS, SKIP, DISCARD }

    private val matcher = ResponseMatcher()
    private var mode = Mode.PASS
    private var latestId: String? = null
    private var sentMillis: Long? = null
    private var skippedHead: ObservedHead? = null
    private var skippedBytes = 0L
    private var skippedTail = ""

    /** Why the response due could not be told from other bytes, null if it could. */
    var givenUp: GivenUpResponse? = null
        private set

    override fun write(ctx: ChannelHandlerContext, msg: Any, promise: ChannelPromise) {
        if (msg is HttpRequest) {
            val id = msg.headers().get(correlation.idHeader)
            if (id != null && id == latestId) return rejectRepeated(ctx, msg, promise)
            latestId = id
            matcher.recordRequest(id, msg.isHead())
            sentMillis = correlation.clock.monotonicMillis()
        }
        ctx.write(msg, promise)
    }

    /** Closes the connection, on which a copy of the earlier response could not be told apart. */
    private fun rejectRepeated(ctx: ChannelHandlerContext, msg: Any, promise: ChannelPromise) {
        ReferenceCountUtil.release(msg)
        val cause = IOException("the connection has already had this request")
        promise.tryFailure(UnprocessedRequestException.of(cause))
        ctx.close()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (msg is HttpResponse && mode != Mode.DISCARD) receiveHead(ctx, msg)
        if (mode == Mode.PASS) {
            if (msg is LastHttpContent) matcher.recordEnd()
            ctx.fireChannelRead(msg)
        } else {
            if (msg is HttpContent && mode == Mode.SKIP) skip(ctx, msg)
            ReferenceCountUtil.release(msg)
        }
    }

    /** Closes an idle connection on which a response has begun and not ended. */
    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (mode == Mode.SKIP && !matcher.isDue) giveUp(ctx, "the response has no end")
        ctx.fireChannelReadComplete()
    }

    private fun receiveHead(ctx: ChannelHandlerContext, response: HttpResponse) {
        val head = observe(response)
        when (val verdict = matcher.match(head)) {
            ResponseVerdict.Own -> mode = Mode.PASS

            ResponseVerdict.Skip -> {
                mode = Mode.SKIP
                skippedHead = head
            }

            ResponseVerdict.CutOff -> {
                mode = Mode.DISCARD
                skippedHead = head
                report(ctx, UnmatchedKind.CUT_OFF, "the connection ended within the head")
            }

            is ResponseVerdict.GiveUp -> {
                skippedHead = head
                val fault = response.decoderResult().cause() as? ProtocolException
                giveUp(ctx, fault?.message ?: verdict.reason, verdict.isAnswered)
            }
        }
    }

    private fun observe(response: HttpResponse): ObservedHead {
        val failure = response.decoderResult().cause()
        val isChunked = HttpUtil.isTransferEncodingChunked(response)
        val status = response.status()
        val isBodiless = status == HttpResponseStatus.NO_CONTENT ||
            status == HttpResponseStatus.NOT_MODIFIED
        return ObservedHead(
            ids = response.headers().getAll(correlation.idHeader),
            status = status.code().takeIf { it < UNKNOWN_STATUS },
            isReadable = failure == null && !isJoined(response),
            isCutOff = failure is PrematureChannelClosureException,
            hasMarkedEnd = isChunked || isBodiless || HttpUtil.isContentLengthSet(response),
            keepsConnection = HttpUtil.isKeepAlive(response)
        )
    }

    /** Whether a line of the head goes on with the status line of another response. */
    private fun isJoined(response: HttpResponse): Boolean =
        isJoined(response.status().reasonPhrase()) ||
            response.headers().iteratorCharSequence().asSequence().any { isJoined(it.value) }

    private fun isJoined(text: CharSequence): Boolean =
        VERSION in text && STATUS_LINE.containsMatchIn(text)

    private fun skip(ctx: ChannelHandlerContext, content: HttpContent) {
        skippedBytes += content.content().readableBytes()
        if (!content.decoderResult().isSuccess) return giveUp(ctx, "the bytes are no response")
        matcher.dueId?.let { dueId ->
            val text = skippedTail + content.content().toString(Charsets.ISO_8859_1)
            if (dueId in text) return giveUp(ctx, "another response hides the own one")
            skippedTail = text.takeLast(dueId.length)
        }
        if (content is LastHttpContent) {
            if (skippedHead?.status !in INFORMATIONAL) {
                report(ctx, UnmatchedKind.SKIPPED, "it answers another request")
            }
            endSkipping()
        }
    }

    private fun endSkipping() {
        mode = Mode.PASS
        skippedHead = null
        skippedBytes = 0
        skippedTail = ""
    }

    /** Closes the connection, which fails the request that is due. */
    private fun giveUp(ctx: ChannelHandlerContext, reason: String, isAnswered: Boolean = false) {
        mode = Mode.DISCARD
        val isDue = matcher.isDue
        if (isDue) givenUp = GivenUpResponse(reason, isAnswered)
        report(ctx, if (isDue) UnmatchedKind.GIVEN_UP else UnmatchedKind.UNREQUESTED, reason)
        ctx.close()
    }

    private fun report(ctx: ChannelHandlerContext, kind: UnmatchedKind, reason: String) {
        val address = ctx.channel().remoteAddress() as? InetSocketAddress
        correlation.listener.onUnmatched(
            UnmatchedResponse(
                kind = kind,
                reason = reason,
                server = address?.let { "${it.hostString}:${it.port}" } ?: "unknown",
                connection = ctx.channel().id().asShortText(),
                dueId = matcher.dueId,
                seenId = skippedHead?.ids?.firstOrNull(),
                status = skippedHead?.status,
                bytes = skippedBytes,
                ageMillis = sentMillis?.let { correlation.clock.monotonicMillis() - it }
            )
        )
    }

    private fun HttpRequest.isHead(): Boolean = method() == HttpMethod.HEAD

    private companion object {
        /** The codec's status for a response without a status line. */
        const val UNKNOWN_STATUS = 999
        val INFORMATIONAL = 100..199
        const val VERSION = "HTTP/1."
        val STATUS_LINE = Regex("HTTP/1\\.[01] [0-9]{3}")
    }
}
