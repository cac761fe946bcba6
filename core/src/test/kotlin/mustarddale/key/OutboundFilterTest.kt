package mustarddale.key

import kotlin.test.assertEquals
import kotlin.test.assertIs
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class OutboundFilterTest {
    private val key = "md-secret"

    private fun requestFields(
        headers: List<HttpField> = emptyList(),
        parameters: List<HttpField> = emptyList(),
        cookies: List<HttpField> = emptyList()
    ) = RequestFields(headers, parameters, cookies)

    private val requestsWithKey = mapOf(
        "bearer" to requestFields(headers = listOf(HttpField("Authorization", "Bearer $key"))),
        "bearer in upper case" to
            requestFields(headers = listOf(HttpField("authorization", "BEARER $key"))),
        "x-api-key" to requestFields(headers = listOf(HttpField("x-api-key", key))),
        "api-key" to requestFields(headers = listOf(HttpField("Api-Key", key))),
        "query parameter" to requestFields(parameters = listOf(HttpField("api_key", key))),
        "cookie" to requestFields(cookies = listOf(HttpField("api_key", key))),
        "same key twice" to requestFields(
            headers = listOf(HttpField("x-api-key", key), HttpField("api-key", key))
        )
    )

    @TestFactory
    fun `finds the key in any field and forwards no field that contains it`(): List<DynamicTest> =
        requestsWithKey.map { (name, fields) ->
            DynamicTest.dynamicTest(name) {
                val found = assertIs<Outcome.Success<String?>>(ApiKeyFinder.find(fields))
                assertEquals(key, found.value)
                val keys = ApiKeyFinder.findAll(fields)
                val extraHeaders =
                    listOf(HttpField("traceparent", "00-$key"), HttpField("accept", "a"))
                val headers = OutboundFilter.requestHeaders(fields.headers + extraHeaders, keys)
                assertEquals(listOf(HttpField("accept", "a")), headers)
                val extraParameters = listOf(HttpField("z", "x${key}x"), HttpField("q", "1"))
                val parameters = OutboundFilter.parameters(
                    fields.parameters + extraParameters,
                    keys
                )
                assertEquals(listOf(HttpField("q", "1")), parameters)
            }
        }

    @TestFactory
    fun `rejects two different keys`(): List<DynamicTest> = listOf(
        requestFields(headers = listOf(HttpField("x-api-key", "a"), HttpField("api-key", "b"))),
        requestFields(
            headers = listOf(HttpField("authorization", "Bearer a")),
            parameters = listOf(HttpField("key", "b"))
        )
    ).map { fields ->
        DynamicTest.dynamicTest(fields.toString()) {
            val failure = assertIs<Outcome.Failure>(ApiKeyFinder.find(fields))
            assertEquals(ErrorKind.KEY_AMBIGUOUS, failure.refusal.kind)
        }
    }
}
