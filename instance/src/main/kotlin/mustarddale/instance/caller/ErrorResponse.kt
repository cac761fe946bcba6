package mustarddale.instance.caller

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import mustarddale.config.ConfigurationFormat
import mustarddale.error.Executed
import mustarddale.error.Refusal

/** Error responses in the OpenAI format, extended by the error kind and whether the request ran. */
public object ErrorResponse {
    private const val MILLIS_PER_SECOND = 1_000L

    /** Returns the HTTP response for [refusal]. */
    public fun of(refusal: Refusal): HttpResponse {
        val headers = ResponseHeaders.builder(HttpStatus.valueOf(refusal.kind.httpStatus))
            .contentType(MediaType.JSON)
        refusal.retryAfterMillis?.let {
            val seconds = (it + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
            headers.add(HttpHeaderNames.RETRY_AFTER, seconds.coerceAtLeast(1).toString())
        }
        return HttpResponse.of(headers.build(), HttpData.ofUtf8(json(refusal)))
    }

    /** Returns the response body for [refusal] as JSON. */
    public fun json(refusal: Refusal): String {
        val error = Body(
            message = refusal.message,
            type = refusal.kind.type,
            param = refusal.field,
            code = refusal.kind.code,
            kind = refusal.kind.code,
            executed = if (refusal.kind.executed == Executed.NO) "no" else null,
            retryAfterMillis = refusal.retryAfterMillis
        )
        return ConfigurationFormat.json.encodeToString(Envelope.serializer(), Envelope(error))
    }

    @Serializable
    private data class Envelope(val error: Body)

    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    private data class Body(
        val message: String,
        val type: String,
        val param: String?,
        val code: String,
        val kind: String,
        @EncodeDefault(EncodeDefault.Mode.NEVER) val executed: String? = null,
        @EncodeDefault(EncodeDefault.Mode.NEVER) val retryAfterMillis: Long? = null
    )
}
