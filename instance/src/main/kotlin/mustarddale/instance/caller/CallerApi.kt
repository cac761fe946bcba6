/*
 * The way in for callers: reads the request whole, pins one revision of the configuration to it,
 * and hands it to the service that its path names. Any error that was not foreseen becomes an
 * answer here, so that a caller never meets a closed connection without a word.
 */
package mustarddale.instance.caller

import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.future.future
import kotlinx.serialization.Serializable
import mustarddale.config.ConfigurationFormat
import mustarddale.config.ConfigurationIndex
import mustarddale.config.ModelEntry
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.Refusal
import mustarddale.instance.log.ControlStore
import org.slf4j.LoggerFactory

/** Serves all requests of callers. */
public class CallerApi(
    private val store: ControlStore,
    private val chat: ChatService,
    private val routes: RouteService,
    private val mayServe: () -> Boolean,
    private val maxBodyBytes: Long
) : HttpService {
    override fun serve(context: ServiceRequestContext, request: HttpRequest): HttpResponse {
        val scope = CoroutineScope(
            SupervisorJob() + context.eventLoop().asCoroutineDispatcher()
        )
        context.whenRequestCancelled().thenRun { scope.cancel() }
        return HttpResponse.of(scope.future { answerSafely(context, scope) })
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun answerSafely(
        context: ServiceRequestContext,
        scope: CoroutineScope
    ): HttpResponse = try {
        answer(context, scope)
    } catch (e: CancellationException) {
        throw e
    } catch (_: ContentTooLargeException) {
        ErrorResponse.of(bodyTooLarge())
    } catch (e: Exception) {
        log.error("request to {} failed", context.path(), e)
        ErrorResponse.of(Refusal(ErrorKind.INTERNAL, "an error inside the instance"))
    }

    private suspend fun answer(
        context: ServiceRequestContext,
        scope: CoroutineScope
    ): HttpResponse {
        if (!mayServe()) return ErrorResponse.of(notReady())
        val index = store.state.index
        val request = CallerRequest.read(context)
        val path = context.path()
        return when {
            path == CHAT -> ifMethod(context, HttpMethod.POST) {
                chat.serve(request, index, scope)
            }

            path == MODELS || path.startsWith("$MODELS/") ->
                ifMethod(context, HttpMethod.GET) { models(request, path, index) }

            else -> {
                val entry = index.route(path)
                if (entry == null) {
                    ErrorResponse.of(Refusal(ErrorKind.ROUTE_UNKNOWN, "there is no route $path"))
                } else {
                    routes.serve(request, entry, index)
                }
            }
        }
    }

    private fun models(
        request: CallerRequest,
        path: String,
        index: ConfigurationIndex
    ): HttpResponse {
        val caller = request.caller(index)
        if (caller is Outcome.Failure) return ErrorResponse.of(caller.refusal)
        val json = ConfigurationFormat.json
        if (path == MODELS) {
            val list = ModelList("list", index.models.values.map(::modelOf))
            val text = json.encodeToString(ModelList.serializer(), list)
            return HttpResponse.of(HttpStatus.OK, MediaType.JSON, text)
        }
        val name = path.removePrefix("$MODELS/")
        val entry = index.models[name] ?: return ErrorResponse.of(
            Refusal(ErrorKind.MODEL_UNKNOWN, "there is no model called \"$name\"", "model")
        )
        val text = json.encodeToString(ModelObject.serializer(), modelOf(entry))
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, text)
    }

    private fun modelOf(entry: ModelEntry): ModelObject =
        ModelObject(entry.publicName, "model", created = 0, owned_by = entry.service)

    private suspend fun ifMethod(
        context: ServiceRequestContext,
        method: HttpMethod,
        answer: suspend () -> HttpResponse
    ): HttpResponse {
        if (context.method() == method) return answer()
        val message = "${context.path()} takes $method only"
        return ErrorResponse.of(Refusal(ErrorKind.METHOD_NOT_ALLOWED, message))
    }

    private fun bodyTooLarge(): Refusal =
        Refusal(ErrorKind.BODY_TOO_LARGE, "the body is longer than $maxBodyBytes bytes", "body")

    private fun notReady(): Refusal = Refusal(
        ErrorKind.NOT_READY,
        "this instance does not know the newest configuration; ask another",
        retryAfterMillis = NOT_READY_RETRY_MILLIS
    )

    @Serializable
    private data class ModelList(val `object`: String, val data: List<ModelObject>)

    @Suppress("ConstructorParameterNaming", "PropertyName")
    @Serializable
    private data class ModelObject(
        val id: String,
        val `object`: String,
        val created: Long,
        val owned_by: String
    )

    private companion object {
        const val CHAT = "/v1/chat/completions"
        const val MODELS = "/v1/models"
        const val NOT_READY_RETRY_MILLIS = 1_000L
        val log = LoggerFactory.getLogger(CallerApi::class.java)
    }
}
