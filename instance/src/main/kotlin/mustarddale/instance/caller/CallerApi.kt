/*
 * The HTTP interface for callers. Each request is read whole, bound to the configuration revision
 * in force at its arrival, and passed to the handler of its path. An unexpected exception becomes
 * an error response here, so that no connection is closed without a response.
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

/**
 * Serves chat completions, the model list and the configured routes.
 *
 * @param mayServe returns false during startup and while the configuration may be out of date.
 */
public class CallerApi(
    private val store: ControlStore,
    private val chat: ChatService,
    private val routes: RouteService,
    private val mayServe: () -> Boolean,
    private val maxBodyBytes: Long
) : HttpService {
    override fun serve(context: ServiceRequestContext, request: HttpRequest): HttpResponse {
        val scope = CoroutineScope(SupervisorJob() + context.eventLoop().asCoroutineDispatcher())
        context.whenRequestCancelled().thenRun { scope.cancel() }
        return HttpResponse.of(scope.future { handleSafely(context, scope) })
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun handleSafely(
        context: ServiceRequestContext,
        scope: CoroutineScope
    ): HttpResponse = try {
        handle(context, scope)
    } catch (e: CancellationException) {
        throw e
    } catch (_: ContentTooLargeException) {
        ErrorResponse.of(bodyTooLarge())
    } catch (e: Exception) {
        log.error("request to {} failed", context.path(), e)
        ErrorResponse.of(Refusal(ErrorKind.INTERNAL, "internal error of the instance"))
    }

    private suspend fun handle(
        context: ServiceRequestContext,
        scope: CoroutineScope
    ): HttpResponse {
        if (!mayServe()) return ErrorResponse.of(notReady())
        val index = store.state.index
        val request = CallerRequest.read(context)
        val path = context.path()
        return when {
            path == CHAT_PATH -> requireMethod(context, HttpMethod.POST) {
                chat.serve(request, index, scope)
            }

            path == MODELS_PATH || path.startsWith("$MODELS_PATH/") ->
                requireMethod(context, HttpMethod.GET) { serveModels(request, path, index) }

            else -> {
                val entry = index.route(path)
                if (entry == null) {
                    ErrorResponse.of(Refusal(ErrorKind.ROUTE_UNKNOWN, "no route for path $path"))
                } else {
                    routes.serve(request, entry, index)
                }
            }
        }
    }

    private fun serveModels(
        request: CallerRequest,
        path: String,
        index: ConfigurationIndex
    ): HttpResponse {
        val caller = request.authenticate(index)
        if (caller is Outcome.Failure) return ErrorResponse.of(caller.refusal)
        val json = ConfigurationFormat.json
        if (path == MODELS_PATH) {
            val list = ModelList("list", index.models.values.map(::modelObject))
            val text = json.encodeToString(ModelList.serializer(), list)
            return HttpResponse.of(HttpStatus.OK, MediaType.JSON, text)
        }
        val name = path.removePrefix("$MODELS_PATH/")
        val entry = index.models[name] ?: return ErrorResponse.of(
            Refusal(ErrorKind.MODEL_UNKNOWN, "model \"$name\" does not exist", "model")
        )
        val text = json.encodeToString(ModelObject.serializer(), modelObject(entry))
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, text)
    }

    private fun modelObject(entry: ModelEntry): ModelObject =
        ModelObject(entry.publicName, "model", created = 0, owned_by = entry.service)

    private suspend fun requireMethod(
        context: ServiceRequestContext,
        method: HttpMethod,
        handler: suspend () -> HttpResponse
    ): HttpResponse {
        if (context.method() == method) return handler()
        val message = "${context.path()} supports only $method"
        return ErrorResponse.of(Refusal(ErrorKind.METHOD_NOT_ALLOWED, message))
    }

    private fun bodyTooLarge(): Refusal =
        Refusal(ErrorKind.BODY_TOO_LARGE, "the body exceeds $maxBodyBytes bytes", "body")

    private fun notReady(): Refusal = Refusal(
        ErrorKind.NOT_READY,
        "this instance has no up-to-date configuration; retry on another instance",
        retryAfterMillis = NOT_READY_RETRY_AFTER_MILLIS
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
        const val CHAT_PATH = "/v1/chat/completions"
        const val MODELS_PATH = "/v1/models"
        const val NOT_READY_RETRY_AFTER_MILLIS = 1_000L
        val log = LoggerFactory.getLogger(CallerApi::class.java)
    }
}
