/*
 * Client of an instance's operator API, used by all commands that read or change a running
 * deployment.
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
import mustarddale.instance.http.BackendConnections
import mustarddale.instance.operator.ChangeRequest
import mustarddale.instance.operator.OperatorApi

/** Calls the operator API at [url] as [operator], NAME:PASSWORD; exits if a call fails. */
internal class OperatorClient(private val url: String, operator: String) {
    private val client = WebClient.builder(url)
        .factory(BackendConnections.defaultFactory)
        .auth(AuthToken.ofBasic(operator.substringBefore(':'), operator.substringAfter(':', "")))
        .build()

    /** Returns the body of a GET of [path], which is relative to the API's prefix. */
    fun read(path: String): String =
        execute { client.get(OperatorApi.PREFIX + path).aggregate().join() }

    /** Submits [change] and returns the body of the response. */
    fun change(change: ConfigurationChange, baseRevision: Long? = null): String {
        val body = ConfigurationFormat.json.encodeToString(
            ChangeRequest.serializer(),
            ChangeRequest(change, baseRevision)
        )
        return post("/changes", body)
    }

    /** Returns what [document] would change and which faults it has, as JSON. */
    fun check(document: String): String = post("/check", document)

    private fun post(path: String, body: String): String {
        val fullPath = OperatorApi.PREFIX + path
        val request = HttpRequest.of(HttpMethod.POST, fullPath, MediaType.JSON, body)
        return execute { client.execute(request).aggregate().join() }
    }

    private fun execute(call: () -> AggregatedHttpResponse): String {
        val response = try {
            call()
        } catch (e: CompletionException) {
            fail("cannot reach $url: ${e.cause?.message}", ExitCode.UNREACHABLE)
        }
        val text = response.contentUtf8()
        if (!response.status().isSuccess) fail(errorMessage(text))
        return text
    }

    private fun errorMessage(text: String): String {
        val error = Json.parseToJsonElement(text).jsonObject["error"]?.jsonObject
        val kind = error?.get("kind")?.jsonPrimitive?.content
        val message = error?.get("message")?.jsonPrimitive?.content
        return "$kind: $message"
    }
}
