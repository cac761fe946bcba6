package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch

/** Runs requests in [scope], whose dispatcher is the event loop, until their connections close. */
public class RequestJobs(private val scope: CoroutineScope) {
    /** Number of requests whose responses have not ended. */
    @Volatile
    public var openCount: Int = 0
        private set

    /** Runs [handle] for the request of [ctx]; it is cancelled when the connection closes. */
    internal fun launch(
        ctx: ServiceRequestContext,
        handle: suspend (HttpResponseWriter) -> Unit
    ): HttpResponse {
        val response = HttpResponse.streaming()
        openCount++
        val job = scope.launch(start = CoroutineStart.UNDISPATCHED) { handle(response) }
        response.whenComplete().whenComplete { _, _ -> job.cancel() }
        ctx.log().partial().channel()?.let { cancelOnClose(it, job) }
        job.invokeOnCompletion { openCount-- }
        return response
    }
}
