package mustarddale.instance.log

import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import java.util.concurrent.CompletionException
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import mustarddale.config.ConfigurationFormat
import mustarddale.control.LogRecord
import mustarddale.instance.http.BackendConnections

/** A [LogClient] for the HTTP protocol in `docs/PROTOCOLS.md`. */
public class HttpLogClient(url: String) : LogClient {
    private val reader = WebClient.builder(url)
        .factory(BackendConnections.defaultFactory)
        .responseTimeoutMillis(READ_TIMEOUT_MILLIS)
        .maxResponseLength(MAX_RESPONSE_BYTES)
        .build()

    private val appender = WebClient.builder(url)
        .factory(BackendConnections.defaultFactory)
        .responseTimeoutMillis(APPEND_TIMEOUT_MILLIS)
        .build()

    override fun append(records: List<String>): AppendResult = try {
        val body = ConfigurationFormat.json.encodeToString(
            AppendRequest.serializer(),
            AppendRequest(records)
        )
        val request = HttpRequest.of(HttpMethod.POST, PATH, MediaType.JSON, body)
        parseAppend(appender.execute(request).aggregate().join())
    } catch (e: CompletionException) {
        val cause = e.cause ?: e
        if (cause is UnprocessedRequestException) {
            AppendResult.NotAppended(cause.toString())
        } else {
            AppendResult.Unknown(cause.toString())
        }
    } catch (e: SerializationException) {
        AppendResult.Unknown("unreadable response: ${e.message}")
    }

    override fun read(fromOffset: Long, waitMillis: Long): ReadResult = try {
        parseRead(reader.get("$PATH?from=$fromOffset&waitMillis=$waitMillis").aggregate().join())
    } catch (e: CompletionException) {
        ReadResult.Failed((e.cause ?: e).toString())
    } catch (e: SerializationException) {
        ReadResult.Failed("unreadable response: ${e.message}")
    }

    private fun parseAppend(response: AggregatedHttpResponse): AppendResult {
        val status = response.status()
        return when {
            status.isSuccess -> AppendResult.Appended(
                decode(AppendResponse.serializer(), response).firstOffset
            )

            status.isClientError -> AppendResult.NotAppended(status.toString())

            else -> AppendResult.Unknown(status.toString())
        }
    }

    private fun parseRead(response: AggregatedHttpResponse): ReadResult {
        val status = response.status().code()
        return when (status) {
            OK -> decode(ReadResponse.serializer(), response).let {
                ReadResult.Read(it.records, it.endOffset)
            }

            GONE -> ReadResult.AgedOut(decode(AgedOutResponse.serializer(), response).firstOffset)

            else -> ReadResult.Failed("status $status")
        }
    }

    private fun <T> decode(serializer: KSerializer<T>, response: AggregatedHttpResponse): T =
        ConfigurationFormat.json.decodeFromString(serializer, response.contentUtf8())

    @Serializable
    private data class AppendRequest(val records: List<String>)

    @Serializable
    private data class AppendResponse(val firstOffset: Long)

    @Serializable
    private data class ReadResponse(val records: List<LogRecord>, val endOffset: Long)

    @Serializable
    private data class AgedOutResponse(val firstOffset: Long)

    private companion object {
        const val PATH = "/v1/records"
        const val OK = 200
        const val GONE = 410
        const val APPEND_TIMEOUT_MILLIS = 1_500L
        const val READ_TIMEOUT_MILLIS = 15_000L
        const val MAX_RESPONSE_BYTES = 64L * 1_024 * 1_024
    }
}
