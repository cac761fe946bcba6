/*
 * The HTTP interface for operators: the configuration, changes to it, the audit trail, and the
 * status of this instance. A change is appended to the log; the response tells whether it took
 * effect when the record was applied.
 */
package mustarddale.instance.operator

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.auth.AuthToken
import com.linecorp.armeria.common.auth.BasicToken
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import com.linecorp.armeria.server.auth.AuthTokenExtractors
import java.security.MessageDigest
import java.util.concurrent.CompletableFuture
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import mustarddale.config.Configuration
import mustarddale.config.ConfigurationDiff
import mustarddale.config.ConfigurationFormat
import mustarddale.config.ConfigurationValidator
import mustarddale.control.AuditEntry
import mustarddale.control.ControlRecord.ChangeProposed
import mustarddale.control.RecordStatus
import mustarddale.error.ErrorKind
import mustarddale.error.Refusal
import mustarddale.instance.caller.ErrorResponse
import mustarddale.instance.log.ControlStore
import mustarddale.instance.log.RecordWriter
import mustarddale.instance.log.WriteOutcome
import mustarddale.instance.settings.OperatorCredential
import mustarddale.key.Sha256

/**
 * Serves `/operator/v1` and, at `/`, the web console.
 *
 * @param hearsFromMajority whether this instance has contact with a majority of all instances.
 */
public class OperatorApi(
    private val store: ControlStore,
    private val recordWriter: RecordWriter,
    private val operators: List<OperatorCredential>,
    private val status: () -> InstanceStatus,
    private val hearsFromMajority: () -> Boolean
) : HttpService {
    private val json = ConfigurationFormat.json

    override fun serve(context: ServiceRequestContext, request: HttpRequest): HttpResponse {
        val operator = authenticate(request)
            ?: return errorResponse(ErrorKind.OPERATOR_UNKNOWN, "name and password required")
        return HttpResponse.of(request.aggregate().thenCompose { handle(context, it, operator) })
    }

    /**
     * Accepts only JSON on POST, as a protection against cross-site request forgery: a page of
     * another site can make a browser post text, but not JSON.
     */
    private fun handle(
        context: ServiceRequestContext,
        request: AggregatedHttpRequest,
        operator: String
    ): CompletableFuture<HttpResponse> {
        if (context.path() == "/") return completed(console())
        if (request.method() == HttpMethod.POST && request.contentType()?.isJson != true) {
            return completed(
                errorResponse(ErrorKind.INVALID_REQUEST, "content-type: must be application/json")
            )
        }
        val path = context.path().removePrefix(PREFIX)
        val isGet = request.method() == HttpMethod.GET
        return when {
            path == "/configuration" && isGet -> completed(configuration())
            path == "/audit" && isGet -> completed(audit())
            path == "/status" && isGet -> completed(json(InstanceStatus.serializer(), status()))
            path == "/check" && request.method() == HttpMethod.POST -> completed(check(request))
            path == "/changes" && request.method() == HttpMethod.POST -> change(request, operator)
            else -> completed(
                errorResponse(ErrorKind.ROUTE_UNKNOWN, "unknown path ${context.path()}")
            )
        }
    }

    private fun console(): HttpResponse =
        HttpResponse.of(HttpStatus.OK, MediaType.HTML_UTF_8, HttpData.wrap(CONSOLE_HTML))

    private fun configuration(): HttpResponse {
        val state = store.state
        val body = ConfigurationAnswer(state.revision, state.index.configuration)
        return json(ConfigurationAnswer.serializer(), body)
    }

    private fun audit(): HttpResponse =
        json(ListSerializer(AuditEntry.serializer()), store.state.audit)

    private fun check(request: AggregatedHttpRequest): HttpResponse {
        val document = try {
            json.decodeFromString(Configuration.serializer(), request.contentUtf8())
        } catch (e: SerializationException) {
            return errorResponse(ErrorKind.INVALID_REQUEST, firstMessageLine(e))
        } catch (e: IllegalArgumentException) {
            return errorResponse(ErrorKind.INVALID_REQUEST, firstMessageLine(e))
        }
        val current = store.state.index.configuration
        val answer = CheckAnswer(
            faults = ConfigurationValidator.validate(document),
            difference = ConfigurationDiff.describe(current, document)
        )
        return json(CheckAnswer.serializer(), answer)
    }

    private fun change(
        request: AggregatedHttpRequest,
        operator: String
    ): CompletableFuture<HttpResponse> {
        if (!hearsFromMajority()) {
            val message = "no contact with a majority of instances; retry on another instance"
            return completed(errorResponse(ErrorKind.NOT_READY, message))
        }
        val changeRequest = try {
            json.decodeFromString(ChangeRequest.serializer(), request.contentUtf8())
        } catch (e: SerializationException) {
            return completed(errorResponse(ErrorKind.INVALID_REQUEST, firstMessageLine(e)))
        } catch (e: IllegalArgumentException) {
            return completed(errorResponse(ErrorKind.INVALID_REQUEST, firstMessageLine(e)))
        }
        val record = ChangeProposed(operator, changeRequest.baseRevision, changeRequest.change)
        return recordWriter.append(record, CHANGE_TIMEOUT_MILLIS).thenApply(::changeResponse)
    }

    private fun changeResponse(outcome: WriteOutcome): HttpResponse = when (outcome) {
        is WriteOutcome.Written -> when (val recordStatus = outcome.status) {
            is RecordStatus.Rejected -> ErrorResponse.of(recordStatus.refusal)
            else -> json(ChangeAnswer.serializer(), ChangeAnswer(revisionOf(outcome.offset)))
        }

        is WriteOutcome.NotWritten ->
            errorResponse(ErrorKind.LOG_UNAVAILABLE, "the log is unavailable; nothing was changed")

        is WriteOutcome.Unresolved -> errorResponse(
            ErrorKind.OUTCOME_UNKNOWN,
            "the log did not respond; the change may still take effect; check the audit trail"
        )
    }

    private fun revisionOf(offset: Long): Long =
        store.state.audit.firstOrNull { it.offset == offset }?.revision ?: store.state.revision

    private fun authenticate(request: HttpRequest): String? {
        val token: AuthToken = AuthTokenExtractors.basic().apply(request.headers()) ?: return null
        if (token !is BasicToken) return null
        val digest = Sha256.of(token.password()).toByteArray()
        return operators.firstOrNull {
            it.name == token.username() && MessageDigest.isEqual(it.sha256.toByteArray(), digest)
        }?.name
    }

    private fun <T> json(serializer: KSerializer<T>, body: T): HttpResponse =
        HttpResponse.of(HttpStatus.OK, MediaType.JSON, json.encodeToString(serializer, body))

    private fun errorResponse(kind: ErrorKind, message: String): HttpResponse {
        val response = ErrorResponse.of(Refusal(kind, message))
        if (kind != ErrorKind.OPERATOR_UNKNOWN) return response
        return response.mapHeaders {
            it.toBuilder()
                .add(HttpHeaderNames.WWW_AUTHENTICATE, "Basic realm=\"mustarddale\"")
                .build()
        }
    }

    private fun completed(response: HttpResponse): CompletableFuture<HttpResponse> =
        CompletableFuture.completedFuture(response)

    private fun firstMessageLine(e: Exception): String = e.message.orEmpty().lineSequence().first()

    public companion object {
        /** The path prefix of all calls. */
        public const val PREFIX: String = "/operator/v1"
        private const val CHANGE_TIMEOUT_MILLIS = 5_000L
        private val CONSOLE_HTML: ByteArray =
            checkNotNull(OperatorApi::class.java.getResourceAsStream("/console.html")).readBytes()
    }
}
