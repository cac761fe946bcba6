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
class BookingFaultTest {
    private val stack = TestStack()

    @BeforeAll
    fun start() {
        stack.start()
    }

    @AfterAll
    fun stop() = stack.close()

    @AfterTest
    fun heal() {
        stack.service.faults = ServiceFaults()
        stack.fronts.forEach { it.faults = LogFaults() }
    }

    @Test
    fun `a retry through another instance gets the same answer`() {
        val first = stack.book(0, "same")
        assertEquals(201, first.status().code())
        TestStack.within4Seconds("the other instance knows the answer") {
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
    fun `a lost answer is unknown and never run again`() {
        stack.service.faults = ServiceFaults(losesAnswers = true)
        val first = stack.book(0, "lost")
        assertEquals("outcome_unknown", first.kind)
        stack.service.faults = ServiceFaults()
        TestStack.within4Seconds("the other instance knows of the call") {
            stack.book(1, "lost").kind == "idempotency_in_progress"
        }
        assertEquals("idempotency_in_progress", stack.book(0, "lost").kind)
        assertEquals(1, stack.service.runsByKey["lost"])
    }

    @Test
    fun `with the log down a booking is refused as not run, and runs when the log is back`() {
        stack.fronts.forEach { it.faults = LogFaults(isDown = true) }
        val refused = stack.book(0, "down")
        assertEquals("log_unavailable", refused.kind)
        assertTrue(refused.saysNotRun)
        assertTrue(refused.headers().contains("retry-after"))
        assertEquals(null, stack.service.runsByKey["down"])
        heal()
        TestStack.within4Seconds("the booking gets through") {
            stack.book(0, "down").status().code() == 201
        }
        assertEquals(1, stack.service.runsByKey["down"])
    }

    @Test
    fun `a lost answer of the log does not double a booking`() {
        stack.fronts.forEach { it.faults = LogFaults(losesAnswers = true) }
        val answer = stack.book(0, "log-lost")
        heal()
        val isBooked = answer.status().code() == 201
        assertEquals(if (isBooked) 1 else null, stack.service.runsByKey["log-lost"])
        assertTrue(isBooked || answer.saysNotRun)
    }

    @Test
    fun `of the same booking sent to all instances at once one runs`() {
        val calls = (0 until 12).map {
            val headers = listOf("idempotency-key" to "race")
            stack.send(it % 2, "/bookings", "{}", headers)
        }
        CompletableFuture.allOf(*calls.toTypedArray()).join()
        assertEquals(1, stack.service.runsByKey["race"])
        assertTrue(calls.any { it.join().status().code() == 201 })
    }
}
