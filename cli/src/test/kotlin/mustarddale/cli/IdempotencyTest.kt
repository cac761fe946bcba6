package mustarddale.cli

import java.util.concurrent.CompletableFuture
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import mustarddale.standin.LogFaults
import mustarddale.standin.ServiceFaults
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.TestInstance

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class IdempotencyTest {
    private val stack = TestStack()

    @BeforeAll
    fun start() {
        stack.start()
    }

    @AfterAll
    fun stop() = stack.close()

    @AfterTest
    fun clearFaults() {
        stack.service.faults = ServiceFaults()
        stack.logStandIns.forEach { it.faults = LogFaults() }
    }

    @Test
    fun `a retry through another instance gets the same response`() {
        val first = stack.book(0, "same")
        assertEquals(201, first.status().code())
        TestStack.awaitCondition("the other instance knows the response") {
            stack.book(1, "same").contentUtf8() == first.contentUtf8()
        }
        assertEquals(1, stack.service.runsByKey["same"])
    }

    @Test
    fun `the same key with another body is refused`() {
        stack.book(0, "body", "{\"a\":1}")
        assertEquals("idempotency_body_differs", stack.book(0, "body", "{\"a\":2}").kind)
        assertEquals(1, stack.service.runsByKey["body"])
    }

    @Test
    fun `a request whose response was lost has an unknown outcome and never runs again`() {
        stack.service.faults = ServiceFaults(losesAnswers = true)
        val first = stack.book(0, "lost")
        assertEquals("outcome_unknown", first.kind)
        stack.service.faults = ServiceFaults()
        TestStack.awaitCondition("the other instance knows the open request") {
            stack.book(1, "lost").kind == "idempotency_in_progress"
        }
        assertEquals("idempotency_in_progress", stack.book(0, "lost").kind)
        assertEquals(1, stack.service.runsByKey["lost"])
    }

    @Test
    fun `while the log is down a request is refused as not executed, and it runs afterwards`() {
        stack.logStandIns.forEach { it.faults = LogFaults(isDown = true) }
        val refused = stack.book(0, "down")
        assertEquals("log_unavailable", refused.kind)
        assertTrue(refused.saysNotExecuted)
        assertTrue(refused.headers().contains("retry-after"))
        assertEquals(null, stack.service.runsByKey["down"])
        clearFaults()
        TestStack.awaitCondition("the booking succeeds") {
            stack.book(0, "down").status().code() == 201
        }
        assertEquals(1, stack.service.runsByKey["down"])
    }

    @Test
    fun `a lost response of the log does not run a request twice`() {
        stack.logStandIns.forEach { it.faults = LogFaults(losesAnswers = true) }
        val response = stack.book(0, "log-lost")
        clearFaults()
        val isBooked = response.status().code() == 201
        assertEquals(if (isBooked) 1 else null, stack.service.runsByKey["log-lost"])
        assertTrue(isBooked || response.saysNotExecuted)
    }

    @Test
    fun `concurrent requests with the same key through all instances run once`() {
        val calls = (0 until 12).map {
            val headers = listOf("idempotency-key" to "race")
            stack.send(it % 2, "/bookings", "{}", headers)
        }
        CompletableFuture.allOf(*calls.toTypedArray()).join()
        assertEquals(1, stack.service.runsByKey["race"])
        assertTrue(calls.any { it.join().status().code() == 201 })
    }
}
