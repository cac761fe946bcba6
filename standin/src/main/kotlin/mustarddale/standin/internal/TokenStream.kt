package mustarddale.standin.internal

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponseWriter
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import mustarddale.standin.EngineFaults

/** Sends the frames of [answer] as server-sent events, subject to [faults]. */
public class TokenStream(
    private val eventLoop: ScheduledExecutorService,
    private val response: HttpResponseWriter,
    private val answer: GeneratedAnswer,
    private val faults: EngineFaults,
    private val tokenMillis: Long,
    private val isCancelled: () -> Boolean
) {
    private var framesSent = 0

    /** Starts sending on the event loop, with the token at [offset]. */
    public fun start(offset: Int) {
        eventLoop.execute { sendNext(offset) }
    }

    private fun sendNext(offset: Int) {
        if (!response.isOpen) return
        when {
            isCancelled() -> response.close()

            framesSent == faults.cutAfterTokens ->
                response.close(IllegalStateException("stream cut by a simulated fault"))

            framesSent == faults.silentAfterTokens -> Unit

            else -> sendFrame(offset)
        }
    }

    private fun sendFrame(offset: Int) {
        val event = HttpData.ofUtf8("data: ${answer.frame(offset)}\n\n")
        response.write(event)
        if (faults.repeatsFrames) response.write(event)
        framesSent++
        when {
            offset >= answer.tokenCount -> {
                response.write(HttpData.ofUtf8("data: [DONE]\n\n"))
                response.close()
            }

            tokenMillis == 0L -> response.whenConsumed().thenRun { sendNext(offset + 1) }

            else -> eventLoop.schedule({ sendNext(offset + 1) }, tokenMillis, TimeUnit.MILLISECONDS)
        }
    }
}
