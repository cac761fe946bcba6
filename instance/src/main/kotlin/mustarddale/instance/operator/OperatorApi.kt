/*
 * What operators may ask of an instance over HTTP: the configuration, changes to it, the audit
 * trail, and what this instance sees. Changes are written into the log; the answer tells what the
 * fold made of them.
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
import mustarddale.instance.caller.ErrorAnswer
import mustarddale.instance.log.ControlStore
import mustarddale.instance.log.RecordWriter
import mustarddale.instance.log.WriteOutcome
import mustarddale.instance.settings.OperatorCredential
import mustarddale.key.Sha256

/** Serves `/operator/v1` and, under `/`, the console. */
public class OperatorApi(
    private val store: ControlStore,
    private val records: RecordWriter,
    private val operators: List<OperatorCredential>,
    private val status: () -> InstanceStatus,
    private val hearsFromMajority: () -> Boolean
) : HttpService {
    private val json = ConfigurationFormat.json

    override fun serve(context: ServiceRequestContext, request: HttpRequest): HttpResponse {
        val operator = operatorOf(request)
            ?: return refused(ErrorKind.OPERATOR_UNKNOWN, "sign in with name and password")
        return HttpResponse.of(request.aggregate().thenCompose { answer(context, it, operator) })
    }

    /** A page of another site can make a browser post text, but not JSON. */
    private fun answer(
        context: ServiceRequestContext,
        request: AggregatedHttpRequest,
        operator: String
    ): CompletableFuture<HttpResponse> {
        if (context.path() == "/") return done(console())
        if (request.method() == HttpMethod.POST && request.contentType()?.isJson != true) {
            return done(
                refused(ErrorKind.INVALID_REQUEST, "content-type: must be application/json")
            )
        }
        val path = context.path().removePrefix(PREFIX)
        val isGet = request.method() == HttpMethod.GET
        return when {
            path == "/configuration" && isGet -> done(configuration())
            path == "/audit" && isGet -> done(audit())
            path == "/status" && isGet -> done(json(InstanceStatus.serializer(), status()))
            path == "/check" && request.method() == HttpMethod.POST -> done(check(request))
            path == "/changes" && request.method() == HttpMethod.POST -> change(request, operator)
            else -> done(refused(ErrorKind.ROUTE_UNKNOWN, "there is no ${context.path()}"))
        }
    }

    private fun console(): HttpResponse =
        HttpResponse.of(HttpStatus.OK, MediaType.HTML_UTF_8, HttpData.wrap(CONSOLE))

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
            return refused(ErrorKind.INVALID_REQUEST, firstLine(e))
        } catch (e: IllegalArgumentException) {
            return refused(ErrorKind.INVALID_REQUEST, firstLine(e))
        }
        val before = store.state.index.configuration
        val answer = CheckAnswer(
            faults = ConfigurationValidator.validate(document),
            difference = ConfigurationDiff.describe(before, document)
        )
        return json(CheckAnswer.serializer(), answer)
    }

    private fun change(
        request: AggregatedHttpRequest,
        operator: String
    ): CompletableFuture<HttpResponse> {
        if (!hearsFromMajority()) {
            val message = "this instance hears from too few others to change anything"
            return done(refused(ErrorKind.NOT_READY, message))
        }
        val wish = try {
            json.decodeFromString(ChangeRequest.serializer(), request.contentUtf8())
        } catch (e: SerializationException) {
            return done(refused(ErrorKind.INVALID_REQUEST, firstLine(e)))
        } catch (e: IllegalArgumentException) {
            return done(refused(ErrorKind.INVALID_REQUEST, firstLine(e)))
        }
        val record = ChangeProposed(operator, wish.baseRevision, wish.change)
        return records.append(record, CHANGE_TIMEOUT_MILLIS).thenApply(::changed)
    }

    private fun changed(outcome: WriteOutcome): HttpResponse = when (outcome) {
        is WriteOutcome.Written -> when (val verdict = outcome.status) {
            is RecordStatus.Rejected -> ErrorAnswer.of(verdict.refusal)
            else -> json(ChangeAnswer.serializer(), ChangeAnswer(revisionOf(outcome.offset)))
        }

        is WriteOutcome.NotWritten ->
            refused(ErrorKind.LOG_UNAVAILABLE, "the log took nothing; nothing was changed")

        is WriteOutcome.Unresolved -> refused(
            ErrorKind.OUTCOME_UNKNOWN,
            "the log gave no answer; the change may still come; look at the audit trail"
        )
    }

    private fun revisionOf(offset: Long): Long =
        store.state.audit.firstOrNull { it.offset == offset }?.revision ?: store.state.revision

    private fun operatorOf(request: HttpRequest): String? {
        val token: AuthToken = AuthTokenExtractors.basic().apply(request.headers()) ?: return null
        if (token !is BasicToken) return null
        val digest = Sha256.of(token.password()).toByteArray()
        return operators.firstOrNull {
            it.name == token.username() && MessageDigest.isEqual(it.sha256.toByteArray(), digest)
        }?.name
    }

    private fun <T> json(serializer: KSerializer<T>, body: T): HttpResponse =
        HttpResponse.of(HttpStatus.OK, MediaType.JSON, json.encodeToString(serializer, body))

    private fun refused(kind: ErrorKind, message: String): HttpResponse {
        val answer = ErrorAnswer.of(Refusal(kind, message))
        if (kind != ErrorKind.OPERATOR_UNKNOWN) return answer
        return answer.mapHeaders {
            it.toBuilder()
                .add(HttpHeaderNames.WWW_AUTHENTICATE, "Basic realm=\"mustarddale\"")
                .build()
        }
    }

    private fun done(response: HttpResponse): CompletableFuture<HttpResponse> =
        CompletableFuture.completedFuture(response)

    private fun firstLine(e: Exception): String = e.message.orEmpty().lineSequence().first()

    public companion object {
        /** The path prefix of all calls. */
        public const val PREFIX: String = "/operator/v1"
        private const val CHANGE_TIMEOUT_MILLIS = 5_000L
        private val CONSOLE: ByteArray =
            checkNotNull(OperatorApi::class.java.getResourceAsStream("/console.html")).readBytes()
    }
}
