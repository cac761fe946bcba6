package mustarddale.key

import kotlin.test.assertEquals
import kotlin.test.assertIs
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class OutboundTest {
    private val key = "md-secret"

    private fun places(
        headers: List<Field> = emptyList(),
        parameters: List<Field> = emptyList(),
        cookies: List<Field> = emptyList()
    ) = KeyPlaces(headers, parameters, cookies)

    private val rows = mapOf(
        "bearer" to places(headers = listOf(Field("Authorization", "Bearer $key"))),
        "bearer in other case" to places(headers = listOf(Field("authorization", "BEARER $key"))),
        "x-api-key" to places(headers = listOf(Field("x-api-key", key))),
        "api-key" to places(headers = listOf(Field("Api-Key", key))),
        "query parameter" to places(parameters = listOf(Field("api_key", key))),
        "cookie" to places(cookies = listOf(Field("api_key", key))),
        "twice the same" to places(
            headers = listOf(Field("x-api-key", key), Field("api-key", key))
        )
    )

    @TestFactory
    fun `finds the key in every place and lets none of it out`(): List<DynamicTest> =
        rows.map { (name, places) ->
            DynamicTest.dynamicTest(name) {
                val found = assertIs<Outcome.Success<String?>>(CallerKey.find(places))
                assertEquals(key, found.value)
                val keys = CallerKey.all(places)
                val copies = listOf(Field("traceparent", "00-$key"), Field("accept", "a"))
                val out = Outbound.requestHeaders(places.headers + copies, keys)
                assertEquals(listOf(Field("accept", "a")), out)
                val extra = listOf(Field("z", "x${key}x"), Field("q", "1"))
                val parameters = Outbound.parameters(places.parameters + extra, keys)
                assertEquals(listOf(Field("q", "1")), parameters)
            }
        }

    @TestFactory
    fun `refuses two different keys`(): List<DynamicTest> = listOf(
        places(headers = listOf(Field("x-api-key", "a"), Field("api-key", "b"))),
        places(
            headers = listOf(Field("authorization", "Bearer a")),
            parameters = listOf(Field("key", "b"))
        )
    ).map { places ->
        DynamicTest.dynamicTest(places.toString()) {
            val failure = assertIs<Outcome.Failure>(CallerKey.find(places))
            assertEquals(ErrorKind.KEY_AMBIGUOUS, failure.refusal.kind)
        }
    }
}
