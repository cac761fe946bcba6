package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.ResponseHeaders
import java.io.IOException
import kotlinx.coroutines.future.await
import mustarddale.error.Refusal

/** Writes a response to [response]; the head of a refusal is made by [refusalHeaders]. */
internal class StreamingResponse(
    private val response: HttpResponseWriter,
    private val refusalHeaders: (Refusal) -> ResponseHeaders
) : ResponseWriter {
    override var hasStarted = false
        private set

    var hasEnded = false
        private set

    override fun writeHead(headers: ResponseHeaders) {
        hasStarted = true
        response.tryWrite(headers)
    }

    override suspend fun writeBody(data: HttpData) {
        if (response.tryWrite(data)) response.whenConsumed().await()
    }

    override fun complete() {
        hasEnded = true
        response.close()
    }

    override fun abort(reason: String) {
        hasEnded = true
        response.close(IOException(reason))
    }

    override fun refuse(refusal: Refusal) {
        writeRefusal(refusal)
        complete()
    }

    /** Writes the whole of [refusal]; the connection is not used again before [complete]. */
    fun writeRefusal(refusal: Refusal) {
        val text = HttpData.ofUtf8(refusal.message)
        val headers = refusalHeaders(refusal).toBuilder()
        writeHead(headers.contentLength(text.length().toLong()).build())
        response.tryWrite(text)
    }
}
