package mustarddale.serving.response

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class ResponseSyntaxTest {
    private data class Case(val lines: List<String>, val fault: String?)

    private val statusLine = "the status line is malformed"
    private val name = "the name of a field is malformed"
    private val value = "the value of a field has a control character"
    private val coding = "the transfer coding is not supported"
    private val sound = "HTTP/1.1 200 OK"

    private fun head(vararg fields: String, fault: String? = null) =
        Case(listOf(sound) + fields + "", fault)

    private val heads = listOf(
        head(),
        Case(listOf("", sound, ""), null),
        Case(listOf("HTTP/1.0 599", "A: b", ""), null),
        Case(listOf("HTTP/1.1 100 \u00e9 \t~", ""), null),
        Case(listOf("HTTP/1.1  200", ""), null),
        Case(listOf("HTTP/1.1 000 OK"), statusLine),
        Case(listOf("HTTP/1.1 600 OK"), statusLine),
        Case(listOf("HTTP/1.1 1000"), statusLine),
        Case(listOf("HTTP/1.1 \u0662\u0660\u0660 OK"), statusLine),
        Case(listOf("HTTP/2.0 200 OK"), statusLine),
        Case(listOf("http/1.1 200 OK"), statusLine),
        Case(listOf(" HTTP/1.1 200 OK"), statusLine),
        Case(listOf("HTTP/1.1 200 O\u007fK"), statusLine),
        head("!#$%&'*+-.^_`|~0Az:", "A:\tb \u00ff"),
        head("A b: c", fault = name),
        head("A : c", fault = name),
        head(": c", fault = name),
        head("A(: c", fault = name),
        head("\u00e4: c", fault = name),
        head("A\r: c", fault = name),
        head("A: b\rc", fault = value),
        head("A: \u007f", fault = value),
        head("A: b", " c: d", fault = "a line of the head is folded"),
        head("\tA: b", fault = "a line of the head is folded"),
        head("A", fault = "a line of the head has no colon"),
        head("Transfer-Encoding: Chunked"),
        head("transfer-encoding: ,\tchunked ,"),
        head("Transfer-Encoding:", fault = coding),
        head("Transfer-Encoding: gzip, chunked", fault = coding),
        head("Transfer-Encoding: chunked", "Transfer-Encoding: chunked", fault = coding),
        head("Transfer-Encoding: chunked;a=b", fault = coding)
    )

    private val chunks = listOf(
        Case(listOf("0", ""), null),
        Case(listOf("3 ;a=\"b\"", "...", "", "00A", "..........", "", "0", "A: b", ""), null),
        Case(listOf("3", "...", "."), "a chunk is longer than its size"),
        Case(listOf(""), "the size of a chunk is malformed"),
        Case(listOf("0x3"), "the size of a chunk is malformed"),
        Case(listOf("-1"), "the size of a chunk is malformed"),
        Case(listOf("1".repeat(16)), "the size of a chunk is malformed"),
        Case(listOf("3\r"), "the size of a chunk is malformed"),
        Case(listOf("0", "A b: c"), name),
        Case(listOf("0", "A: \u0000"), value)
    )

    /** Takes [lines], of which one is data where data is due, and returns the first fault. */
    private fun ResponseSyntax.accept(lines: List<String>): String? = lines.firstNotNullOfOrNull {
        val isData = next is ResponsePart.Bytes
        if (isData) acceptBytes(it.length.toLong())
        if (isData) null else acceptLine(it)
    }

    @Test
    fun `a head is whole only if each of its lines follows the grammar`() {
        heads.forEach { case ->
            val syntax = ResponseSyntax()
            assertEquals(case.fault, syntax.accept(case.lines), "$case")
            if (case.fault == null) assertEquals(true, syntax.isHeadEnd, "$case")
        }
    }

    @Test
    fun `chunks and trailers end only where their framing says`() {
        chunks.forEach { case ->
            val syntax = ResponseSyntax()
            assertNull(syntax.accept(listOf(sound, "")))
            syntax.beginBody(BodyEnd.LastChunk)
            assertEquals(case.fault, syntax.accept(case.lines), "$case")
            assertEquals(case.fault == null, syntax.isBetweenResponses, "$case")
        }
    }

    @Test
    fun `the next head begins behind the length of a body`() {
        val syntax = ResponseSyntax()
        assertNull(syntax.accept(listOf(sound, "")))
        syntax.beginBody(BodyEnd.Length(5))
        syntax.acceptBytes(3)
        assertEquals(ResponsePart.Bytes(2), syntax.next)
        syntax.acceptBytes(2)
        assertNull(syntax.accept(listOf(sound, "")))
        syntax.beginBody(BodyEnd.Length(0))
        assertEquals(statusLine, syntax.acceptLine("garbage"))
    }

    @Test
    fun `a coding is no part of the next head`() {
        val syntax = ResponseSyntax()
        assertNull(syntax.accept(listOf(sound, "Transfer-Encoding: chunked", "")))
        syntax.beginBody(BodyEnd.Length(0))
        assertNull(syntax.accept(listOf(sound, "Transfer-Encoding: chunked", "")))
    }
}
