/*
 * The operator's side of the instance's HTTP interface. Every command that changes or shows the
 * running system goes through here.
 */
package mustarddale.cli

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.auth.AuthToken
import java.util.concurrent.CompletionException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import mustarddale.config.ConfigurationChange
import mustarddale.config.ConfigurationFormat
import mustarddale.instance.operator.ChangeRequest
import mustarddale.instance.operator.OperatorApi

/** Speaks to the instance at [url] as [operator]. */
internal class OperatorClient(private val url: String, operator: String) {
    private val client = WebClient.builder(url)
        .auth(AuthToken.ofBasic(operator.substringBefore(':'), operator.substringAfter(':', "")))
        .build()

    /** Returns the answer to a read of [path]. */
    fun read(path: String): String =
        answer { client.get(OperatorApi.PREFIX + path).aggregate().join() }

    /** Asks for [change] and returns the answer. */
    fun change(change: ConfigurationChange, baseRevision: Long? = null): String {
        val body = ConfigurationFormat.json.encodeToString(
            ChangeRequest.serializer(),
            ChangeRequest(change, baseRevision)
        )
        return post("/changes", body)
    }

    /** Asks what [document] would change. */
    fun check(document: String): String = post("/check", document)

    private fun post(path: String, body: String): String {
        val whole = OperatorApi.PREFIX + path
        val request = HttpRequest.of(HttpMethod.POST, whole, MediaType.JSON, body)
        return answer { client.execute(request).aggregate().join() }
    }

    private fun answer(call: () -> AggregatedHttpResponse): String {
        val response = try {
            call()
        } catch (e: CompletionException) {
            fail("cannot reach $url: ${e.cause?.message}", ExitCode.UNREACHABLE)
        }
        val text = response.contentUtf8()
        if (!response.status().isSuccess) fail(messageOf(text))
        return text
    }

    private fun messageOf(text: String): String {
        val error = Json.parseToJsonElement(text).jsonObject["error"]?.jsonObject
        val kind = error?.get("kind")?.jsonPrimitive?.content
        val message = error?.get("message")?.jsonPrimitive?.content
        return "$kind: $message"
    }
}
