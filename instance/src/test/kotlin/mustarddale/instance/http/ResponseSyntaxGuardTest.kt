package mustarddale.instance.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlin.test.Test
import kotlin.test.assertEquals

class ResponseSyntaxGuardTest {
    /**
     * @property expected the decoded responses, each with its body and `.`, or `!` where the
     *   response fails.
     */
    private data class Case(
        val bytes: String,
        val expected: String,
        val method: HttpMethod = HttpMethod.GET,
        val endsConnection: Boolean = false
    )

    private val bad = "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 2\r\n\r\nno"
    private val length = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nA\r\n\r"
    private val chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    private val chunks = "${chunked}3\r\nabc\r\n2;x=y\r\n\r\n\r\n0\r\nA: b\r\n\r\n"
    private val noBody = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
    private val notModified = "HTTP/1.1 304 x\r\nContent-Length: 5\r\n\r\n"
    private val chunksText = "200abc\r\n."

    private val cases = listOf(
        Case(length, "200A\r\n\r."),
        Case(length + chunks + length, "200A\r\n\r.${chunksText}200A\r\n\r."),
        Case(chunks + "\r\n" + chunks, chunksText + chunksText),
        Case("HTTP/1.1 200\r\n\r\nrest: \u0001", "200rest: \u0001.", endsConnection = true),
        Case("$noBody$noBody", "200.200.", HttpMethod.HEAD),
        Case("HTTP/1.1 204 x\r\n\r\n$notModified$length", "204.304.200A\r\n\r."),
        Case("HTTP/1.1 103 x\r\nA: b\r\n\r\n$length", "103.200A\r\n\r."),
        Case(bad, "!"),
        Case(length + bad + length, "200A\r\n\r.!"),
        Case(chunks + bad, "$chunksText!"),
        Case("HTTP/1.1 103 x\r\nBad Name: b\r\n\r\n$length", "!"),
        Case("HTTP/1.1 000 OK\r\n\r\n", "!"),
        Case("\u0000$length", "!"),
        Case("${chunked}3\r\nabc\r\n0\r\nBad Name: x\r\n\r\n$length", "200abc!"),
        Case("${chunked}3\r\nabcd\r\n0\r\n\r\n", "200abc!"),
        Case("${chunked}x\r\nabcd\r\n0\r\n\r\n", "200!"),
        Case("HTTP/1.1 200 OK\r\nA: ${"x".repeat(20_000)}\r\n\r\n", "!"),
        Case("HTTP/1.1 200 OK\r\nA: b", "!", endsConnection = true),
        Case("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", "200ab", endsConnection = true)
    )

    @Test
    fun `only sound responses reach the client, wherever their bytes are split`() {
        cases.forEach { case ->
            val splits = if (case.bytes.length < 1_000) case.bytes.indices else listOf(0, 9_000)
            splits.forEach { split ->
                val parts = listOf(case.bytes.take(split), case.bytes.drop(split))
                assertEquals(case.expected, play(case, parts), "$case, split at $split")
            }
            if (case.bytes.length < 1_000) {
                assertEquals(case.expected, play(case, case.bytes.map { "$it" }), "$case, in bytes")
            }
        }
    }

    private fun play(case: Case, parts: List<String>): String {
        val guard = ResponseSyntaxGuard()
        val channel = EmbeddedChannel(guard, HttpClientCodec(), guard.codecObserver)
        repeat(3) {
            channel.writeOutbound(DefaultFullHttpRequest(HttpVersion.HTTP_1_1, case.method, "/"))
        }
        parts.forEach {
            val bytes = Unpooled.copiedBuffer(it, Charsets.ISO_8859_1)
            if (bytes.isReadable && channel.isOpen) channel.writeInbound(bytes) else bytes.release()
        }
        val isOpen = channel.isOpen
        if (case.endsConnection) channel.close()
        val text = StringBuilder()
        generateSequence { channel.readInbound<Any>() }.forEach { message ->
            text.append(textOf(message as HttpObject))
            ReferenceCountUtil.release(message)
        }
        channel.finishAndReleaseAll()
        // What the codec makes of the end of a connection that the guard has closed.
        return if (isOpen) text.toString() else text.toString().substringBefore('!') + '!'
    }

    private fun textOf(message: HttpObject): String {
        if (message.decoderResult().isFailure) return "!"
        val status = (message as? HttpResponse)?.status()?.code()?.toString().orEmpty()
        val body = (message as? HttpContent)?.content()?.toString(Charsets.ISO_8859_1).orEmpty()
        return status + body + if (message is LastHttpContent) "." else ""
    }
}
