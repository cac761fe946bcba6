package mustarddale.instance.serving.forward

import io.netty.channel.embedded.EmbeddedChannel
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.Job

class ClosedConnectionTest {
    @Test
    fun `a job ends with its connection and not before`() {
        val channel = EmbeddedChannel()
        val job = Job()
        cancelOnClose(channel, job)
        channel.runPendingTasks()
        assertEquals(true, job.isActive)
        channel.close()
        assertEquals(true, job.isCancelled)
    }

    @Test
    fun `a job that has ended leaves nothing behind`() {
        val channel = EmbeddedChannel()
        val job = Job()
        cancelOnClose(channel, job)
        job.complete()
        channel.close()
        assertEquals(false, job.isCancelled)
    }
}
