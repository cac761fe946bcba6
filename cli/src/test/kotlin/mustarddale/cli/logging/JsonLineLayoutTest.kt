package mustarddale.cli.logging

import java.time.Instant
import kotlin.test.assertEquals
import mustarddale.cli.explain.LogLine
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.impl.Log4jLogEvent
import org.apache.logging.log4j.message.Message
import org.apache.logging.log4j.message.SimpleMessage
import org.apache.logging.log4j.message.StringMapMessage
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class JsonLineLayoutTest {
    private data class Case(
        val name: String,
        val message: Message,
        val json: String,
        val epochMillis: Long = 1_796_461_787_629,
        val time: String = "2026-12-05T09:09:47.629+0000"
    )

    private val cases = listOf(
        Case(
            "a decision has its fields",
            StringMapMessage().with("event", "finished").with("reason", "200"),
            """{"event":"finished","reason":"200"}"""
        ),
        Case(
            "a text with quotes, line breaks and control characters stays one line",
            SimpleMessage("a \"b\"\r\n\u0001 \u00fc"),
            """{"text":"a \"b\"\r\n\u0001 ü"}"""
        ),
        Case(
            "each part of a time has its full width",
            SimpleMessage("x"),
            """{"text":"x"}""",
            epochMillis = 1_798_769_106_005,
            time = "2027-01-01T02:05:06.005+0000"
        )
    )

    @TestFactory
    fun `an event is one line of JSON`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            assertEquals(
                """{"time":"${case.time}","level":"INFO","logger":"l","thread":"t",""" +
                    """"message":${case.json}}""" + "\n",
                JsonLineLayout().toSerializable(event(case))
            )
        }
    }

    @TestFactory
    fun `a decision is read back by explain`(): List<DynamicTest> =
        cases.filter { it.message is StringMapMessage }.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val line = LogLine.parse(JsonLineLayout().toSerializable(event(case)), "i-1")
                assertEquals("finished", line?.event)
                assertEquals(Instant.ofEpochMilli(case.epochMillis), line?.time)
            }
        }

    @TestFactory
    fun `an error keeps its stack trace on the line`(): List<DynamicTest> = listOf(
        DynamicTest.dynamicTest("an error with a cause") {
            val error = IllegalStateException("broken", java.io.IOException("reset"))
            val event = Log4jLogEvent.newBuilder()
                .setLevel(Level.WARN)
                .setLoggerName("l")
                .setThreadName("t")
                .setMessage(SimpleMessage("x"))
                .setThrown(error)
                .build()
            val line = JsonLineLayout().toSerializable(event)
            assertEquals(1, line.lines().count { it.isNotEmpty() })
            assertEquals(2, Regex("broken|reset").findAll(line).count())
        }
    )

    private fun event(case: Case) = Log4jLogEvent.newBuilder()
        .setLevel(Level.INFO)
        .setLoggerName("l")
        .setThreadName("t")
        .setMessage(case.message)
        .setTimeMillis(case.epochMillis)
        .build()
}
