package mustarddale.instance.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import kotlin.test.Test
import kotlin.test.assertEquals
import mustarddale.time.SystemClock

class ResponseCorrelatorTest {
    private enum class Framing { LENGTH, CHUNKS, CONNECTION_CLOSE }

    /**
     * @property before the bytes before the request is sent.
     * @property after the bytes after it.
     * @property expected status and body of the response that reaches the client, `failed` if its
     *   request fails, null if there is none.
     */
    private data class Case(
        val name: String,
        val before: String,
        val after: String,
        val expected: String?,
        val kinds: List<UnmatchedKind>,
        val isOpen: Boolean = true,
        val endsConnection: Boolean = false,
        val splits: IntRange = 0..after.length
    )

    private fun response(
        id: String?,
        body: String,
        framing: Framing = Framing.LENGTH,
        status: Int = 200
    ): String {
        val idLine = id?.let { "Id: $it\r\n" }.orEmpty()
        val head = "HTTP/1.1 $status x\r\n$idLine"
        return when (framing) {
            Framing.LENGTH -> "${head}Content-Length: ${body.length}\r\n\r\n$body"
            Framing.CHUNKS ->
                "${head}Transfer-Encoding: chunked\r\n\r\n" +
                    "${body.length.toString(16)}\r\n$body\r\n0\r\n\r\n"
            Framing.CONNECTION_CLOSE -> "$head\r\n$body"
        }
    }

    private val own = response("own", "mine")
    private val failure = response("own", "failed here", status = 500)
    private val copy = response("old", "theirs")
    private val chunkedCopy = response("old", "theirs", Framing.CHUNKS)
    private val endlessCopy = response("old", "theirs", Framing.CONNECTION_CLOSE)
    private val skipped = listOf(UnmatchedKind.SKIPPED)
    private val cutOff = listOf(UnmatchedKind.CUT_OFF)
    private val givenUp = listOf(UnmatchedKind.GIVEN_UP)
    private val unrequested = listOf(UnmatchedKind.UNREQUESTED)

    private val cases = listOf(
        Case("own", "", own, "200 mine", emptyList()),
        Case("own in chunks", "", response("own", "mine", Framing.CHUNKS), "200 mine", emptyList()),
        Case("copy, own", "", copy + own, "200 mine", skipped),
        Case("copy, own failure", "", copy + failure, "500 failed here", skipped),
        Case("copy in chunks, own", "", chunkedCopy + own, "200 mine", skipped),
        Case(
            "copied refusal, own",
            "",
            response("old", "", status = 503) + own,
            "200 mine",
            skipped
        ),
        Case("two copies, own", "", copy + chunkedCopy + own, "200 mine", skipped + skipped),
        Case("response without an id, own", "", response(null, "x") + own, "200 mine", skipped),
        Case("idle copy", copy, own, "200 mine", skipped),
        Case("idle copy in chunks", chunkedCopy, own, "200 mine", skipped),
        Case("own, its copy", "", own + own, "200 mine", skipped, splits = 0..own.length),
        Case("own, a cut copy", "", own + own.dropLast(1), "200 mine", unrequested, splits = 0..9),
        Case(
            "informational, own",
            "",
            "HTTP/1.1 103 x\r\nA: b\r\n\r\n$own",
            "200 mine",
            emptyList()
        ),
        Case("copy without an end, own", "", endlessCopy + own, "failed", givenUp),
        Case("copy with a cut body, own", "", copy.dropLast(3) + own, "failed", skipped + givenUp),
        Case("copy cut in a chunk, own", "", chunkedCopy.dropLast(9) + own, "failed", givenUp),
        Case("copy cut in its head, own", "", copy.take(20) + own, "failed", givenUp),
        Case("copy cut in its reason, own", "", copy.take(13) + failure, "failed", givenUp),
        Case("own cut in a header, own", "", own.take(23) + failure, "failed", givenUp),
        Case("no response", "", "garbage\r\n\r\n", "failed", givenUp),
        Case("own failure cut in its head", "", failure.take(30), "failed", givenUp, true, true),
        Case("own success cut in its head", "", own.take(30), null, cutOff, true, true),
        Case("copy, own cut off", "", copy + own.take(30), null, skipped + cutOff, true, true),
        Case("copy alone", "", copy, null, skipped, true, true),
        Case("idle copy without an end", endlessCopy, "", null, unrequested, isOpen = false),
        Case("idle copy that is cut", copy.dropLast(2), "", null, unrequested, isOpen = false),
        Case("idle response without an id", response(null, "x"), "", null, unrequested, false)
    )

    @Test
    fun `only the response due passes, wherever the bytes are split`() {
        cases.forEach { case ->
            case.splits.forEach { play(case, it) }
        }
    }

    private fun play(case: Case, split: Int) {
        val unmatched = ArrayList<UnmatchedResponse>()
        val correlator =
            ResponseCorrelator(ResponseCorrelation("id", SystemClock) { unmatched += it })
        val channel = EmbeddedChannel(HttpClientCodec(), correlator)
        val name = "${case.name}, split at $split"
        channel.receive(case.before)
        assertEquals(case.isOpen, channel.isOpen, name)
        if (case.isOpen) {
            channel.writeOutbound(request())
            channel.receive(case.after.take(split))
            if (channel.isOpen) channel.receive(case.after.drop(split))
            if (case.endsConnection) runCatching { channel.close() }
        }
        val result = if (correlator.givenUp != null) "failed" else passed(channel)
        assertEquals(case.expected, result, name)
        assertEquals(case.kinds, unmatched.map { it.kind }, name)
        channel.releaseOutbound()
    }

    private fun EmbeddedChannel.receive(text: String) {
        if (text.isNotEmpty()) writeInbound(Unpooled.copiedBuffer(text, Charsets.UTF_8))
    }

    private fun request() =
        DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/").apply {
            headers().set("id", "own")
        }

    private fun passed(channel: EmbeddedChannel): String? {
        var text: String? = null
        generateSequence { channel.readInbound<Any>() }.forEach { message ->
            if (message is HttpResponse) {
                assertEquals(null, text, "a second response")
                text = "${message.status().code()} "
            }
            if (message is HttpContent) text += message.content().toString(Charsets.UTF_8)
            ReferenceCountUtil.release(message)
        }
        return text
    }
}
