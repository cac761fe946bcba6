package mustarddale.serving.response

import kotlin.test.Test
import kotlin.test.assertEquals

class ResponseMatcherTest {
    private enum class Expected { OWN, SKIP, CUT_OFF, GIVE_UP, GIVE_UP_ANSWERED }

    private fun own(status: Int? = 200) = ObservedHead(listOf("due"), status)

    private fun other(status: Int? = 200) = ObservedHead(listOf("earlier"), status)

    private fun check(
        matcher: ResponseMatcher,
        cases: List<Triple<String, ObservedHead, Expected>>
    ) {
        cases.forEach { (name, head, expected) ->
            val actual = when (val verdict = matcher.match(head)) {
                ResponseVerdict.Own -> Expected.OWN
                ResponseVerdict.Skip -> Expected.SKIP
                ResponseVerdict.CutOff -> Expected.CUT_OFF

                is ResponseVerdict.GiveUp ->
                    if (verdict.isAnswered) Expected.GIVE_UP_ANSWERED else Expected.GIVE_UP
            }
            assertEquals(expected, actual, name)
        }
    }

    @Test
    fun `only a response that names the request due answers it`() {
        val matcher = ResponseMatcher()
        matcher.recordRequest("due", hasBodilessResponse = false)
        val unreadable = own(null).copy(ids = emptyList(), isReadable = false)
        check(
            matcher,
            listOf(
                Triple("success", own(), Expected.OWN),
                Triple("failure", own(500), Expected.OWN),
                Triple("without an end", own().copy(hasMarkedEnd = false), Expected.OWN),
                Triple("named twice alike", ObservedHead(listOf("due", "due"), 200), Expected.OWN),
                Triple("of an earlier request", other(), Expected.SKIP),
                Triple("a refusal of an earlier request", other(503), Expected.SKIP),
                Triple("closing", other().copy(keepsConnection = false), Expected.SKIP),
                Triple("names none", ObservedHead(emptyList(), 200), Expected.SKIP),
                Triple("informational", ObservedHead(emptyList(), 103), Expected.SKIP),
                Triple("switches protocols", ObservedHead(emptyList(), 101), Expected.GIVE_UP),
                Triple("endless", other().copy(hasMarkedEnd = false), Expected.GIVE_UP),
                Triple("two heads", ObservedHead(listOf("earlier", "due"), 200), Expected.GIVE_UP),
                Triple("no response", unreadable, Expected.GIVE_UP),
                Triple("malformed", own().copy(isReadable = false), Expected.GIVE_UP_ANSWERED),
                Triple("malformed earlier", other().copy(isReadable = false), Expected.GIVE_UP),
                Triple(
                    "two malformed heads",
                    ObservedHead(listOf("earlier", "due"), null, isReadable = false),
                    Expected.GIVE_UP
                ),
                Triple("cut off", unreadable.copy(isCutOff = true), Expected.CUT_OFF),
                Triple(
                    "cut off failure",
                    unreadable.copy(isCutOff = true, status = 500),
                    Expected.GIVE_UP
                ),
                Triple(
                    "cut off failure of another",
                    other(500).copy(isReadable = false, isCutOff = true),
                    Expected.CUT_OFF
                )
            )
        )
    }

    @Test
    fun `a connection with no request due skips only what cannot be mistaken later`() {
        check(
            ResponseMatcher(),
            listOf(
                Triple("names a request", other(), Expected.SKIP),
                Triple("names none", ObservedHead(emptyList(), 200), Expected.GIVE_UP),
                Triple("endless", other().copy(hasMarkedEnd = false), Expected.GIVE_UP),
                Triple("closing", other().copy(keepsConnection = false), Expected.GIVE_UP),
                Triple("no response", other().copy(isReadable = false), Expected.GIVE_UP)
            )
        )
    }

    @Test
    fun `a call without an id takes no response that names a request`() {
        val matcher = ResponseMatcher()
        matcher.recordRequest(null, hasBodilessResponse = false)
        check(
            matcher,
            listOf(
                Triple("names none", ObservedHead(emptyList(), 202), Expected.OWN),
                Triple(
                    "malformed",
                    ObservedHead(emptyList(), null, isReadable = false),
                    Expected.GIVE_UP
                ),
                Triple("names a request", other(), Expected.SKIP)
            )
        )
    }

    @Test
    fun `a response to HEAD cannot follow one whose body is unknown`() {
        val matcher = ResponseMatcher()
        matcher.recordRequest("due", hasBodilessResponse = true)
        check(
            matcher,
            listOf(
                Triple("own", own(), Expected.OWN),
                Triple("of an earlier request", other(), Expected.GIVE_UP)
            )
        )
    }
}
