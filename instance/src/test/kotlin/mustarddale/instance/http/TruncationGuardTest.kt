package mustarddale.instance.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.LastHttpContent
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals

class TruncationGuardTest {
    private data class Case(
        val name: String,
        val framing: String,
        val body: String,
        val failure: Throwable?,
        val isComplete: Boolean
    )

    @Test
    fun `only the end of a sound connection completes a response without a length`() {
        val reset = IOException("Connection reset by peer")
        listOf(
            Case("no length, closed", "", "part", null, true),
            Case("no length, reset", "", "part", reset, false),
            Case("no length, reset before the body", "", "", reset, false),
            Case("no length, other error", "", "part", IllegalStateException(), true),
            Case("length, reset after the body", "Content-Length: 4\r\n", "part", reset, true),
            Case("length, reset within the body", "Content-Length: 9\r\n", "part", reset, false),
            Case("chunks, reset", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n", reset, false)
        ).forEach { case ->
            val channel = EmbeddedChannel(HttpClientCodec(), TruncationGuard())
            val text = "HTTP/1.1 200 OK\r\n${case.framing}\r\n${case.body}"
            channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.UTF_8))
            case.failure?.let { channel.pipeline().fireExceptionCaught(it) }
            runCatching { channel.close() }
            val messages = generateSequence { channel.readInbound<Any>() }.toList()
            assertEquals(case.isComplete, messages.any { it is LastHttpContent }, case.name)
        }
    }
}
