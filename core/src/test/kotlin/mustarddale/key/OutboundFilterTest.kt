package mustarddale.key

import kotlin.test.assertEquals
import kotlin.test.assertIs
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class OutboundFilterTest {
    private val key = "md-secret"

    private fun places(
        headers: List<HttpField> = emptyList(),
        parameters: List<HttpField> = emptyList(),
        cookies: List<HttpField> = emptyList()
    ) = RequestFields(headers, parameters, cookies)

    private val rows = mapOf(
        "bearer" to places(headers = listOf(HttpField("Authorization", "Bearer $key"))),
        "bearer in other case" to
            places(headers = listOf(HttpField("authorization", "BEARER $key"))),
        "x-api-key" to places(headers = listOf(HttpField("x-api-key", key))),
        "api-key" to places(headers = listOf(HttpField("Api-Key", key))),
        "query parameter" to places(parameters = listOf(HttpField("api_key", key))),
        "cookie" to places(cookies = listOf(HttpField("api_key", key))),
        "twice the same" to places(
            headers = listOf(HttpField("x-api-key", key), HttpField("api-key", key))
        )
    )

    @TestFactory
    fun `finds the key in every place and lets none of it out`(): List<DynamicTest> =
        rows.map { (name, places) ->
            DynamicTest.dynamicTest(name) {
                val found = assertIs<Outcome.Success<String?>>(ApiKeyFinder.find(places))
                assertEquals(key, found.value)
                val keys = ApiKeyFinder.findAll(places)
                val copies = listOf(HttpField("traceparent", "00-$key"), HttpField("accept", "a"))
                val out = OutboundFilter.requestHeaders(places.headers + copies, keys)
                assertEquals(listOf(HttpField("accept", "a")), out)
                val extra = listOf(HttpField("z", "x${key}x"), HttpField("q", "1"))
                val parameters = OutboundFilter.parameters(places.parameters + extra, keys)
                assertEquals(listOf(HttpField("q", "1")), parameters)
            }
        }

    @TestFactory
    fun `refuses two different keys`(): List<DynamicTest> = listOf(
        places(headers = listOf(HttpField("x-api-key", "a"), HttpField("api-key", "b"))),
        places(
            headers = listOf(HttpField("authorization", "Bearer a")),
            parameters = listOf(HttpField("key", "b"))
        )
    ).map { places ->
        DynamicTest.dynamicTest(places.toString()) {
            val failure = assertIs<Outcome.Failure>(ApiKeyFinder.find(places))
            assertEquals(ErrorKind.KEY_AMBIGUOUS, failure.refusal.kind)
        }
    }
}
