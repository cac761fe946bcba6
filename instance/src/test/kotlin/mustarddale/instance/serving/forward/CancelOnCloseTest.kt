package mustarddale.instance.serving.forward

import io.netty.channel.embedded.EmbeddedChannel
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.Job

class CancelOnCloseTest {
    @Test
    fun `a job is cancelled when its connection closes and not before`() {
        val channel = EmbeddedChannel()
        val job = Job()
        cancelOnClose(channel, job)
        channel.runPendingTasks()
        assertEquals(true, job.isActive)
        channel.close()
        assertEquals(true, job.isCancelled)
    }

    @Test
    fun `a completed job is not cancelled when the connection closes`() {
        val channel = EmbeddedChannel()
        val job = Job()
        cancelOnClose(channel, job)
        job.complete()
        channel.close()
        assertEquals(false, job.isCancelled)
    }
}
