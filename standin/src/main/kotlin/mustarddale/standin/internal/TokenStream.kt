package mustarddale.standin.internal

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponseWriter
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import mustarddale.standin.EngineFaults

/** Sends the frames of [answer] one after the other, with the [faults] of its engine. */
public class TokenStream(
    private val eventLoop: ScheduledExecutorService,
    private val response: HttpResponseWriter,
    private val answer: GeneratedAnswer,
    private val faults: EngineFaults,
    private val tokenMillis: Long,
    private val isCancelled: () -> Boolean
) {
    private var sent = 0

    /** Starts with the token at [offset]. */
    public fun start(offset: Int) {
        eventLoop.execute { send(offset) }
    }

    private fun send(offset: Int) {
        if (!response.isOpen) return
        when {
            isCancelled() -> response.close()

            sent == faults.cutAfterTokens ->
                response.close(IllegalStateException("cut by a fault"))

            sent == faults.silentAfterTokens -> Unit

            else -> sendFrame(offset)
        }
    }

    private fun sendFrame(offset: Int) {
        val event = HttpData.ofUtf8("data: ${answer.frame(offset)}\n\n")
        response.write(event)
        if (faults.repeatsFrames) response.write(event)
        sent++
        when {
            offset >= answer.tokens -> {
                response.write(HttpData.ofUtf8("data: [DONE]\n\n"))
                response.close()
            }

            tokenMillis == 0L -> response.whenConsumed().thenRun { send(offset + 1) }

            else -> eventLoop.schedule({ send(offset + 1) }, tokenMillis, TimeUnit.MILLISECONDS)
        }
    }
}
