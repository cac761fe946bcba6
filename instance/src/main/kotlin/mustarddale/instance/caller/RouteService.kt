/*
 * Calls to plain services. A safe or repeatable call may be sent again; any other goes through the
 * booking gate and is sent at most once, unless it is certain that it was not sent.
 */
package mustarddale.instance.caller

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.QueryParams
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import mustarddale.config.Access
import mustarddale.config.ConfigurationIndex
import mustarddale.config.RouteEntry
import mustarddale.dispatch.DispatchRequest
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure
import mustarddale.error.flatMap
import mustarddale.idempotency.IdempotencyKey
import mustarddale.idempotency.StoredAnswer
import mustarddale.instance.decision.DispatchLoop
import mustarddale.instance.decision.DispatchLoop.Update
import mustarddale.instance.log.ControlStore
import mustarddale.key.OutboundFilter

/** Serves the configured routes. */
public class RouteService(
    private val store: ControlStore,
    private val admitter: Admitter,
    private val plain: PlainClient,
    private val gate: BookingGate,
    private val decisions: DispatchLoop
) {
    /** Answers [request], which goes to [entry], by the configuration [index]. */
    public suspend fun serve(
        request: CallerRequest,
        entry: RouteEntry,
        index: ConfigurationIndex
    ): HttpResponse {
        val caller: Caller? = when (entry.route.access) {
            Access.OPEN -> null

            Access.KEYED -> when (val found = request.caller(index)) {
                is Outcome.Success -> found.value
                is Outcome.Failure -> return ErrorAnswer.of(found.refusal)
            }
        }
        val outcome = request.bodyWithoutKeys()
            .flatMap { callOf(request) }
            .flatMap { call -> dispatch(Visit(request, entry, caller, index, call)) }
        return when (outcome) {
            is Outcome.Success -> outcome.value
            is Outcome.Failure -> ErrorAnswer.of(outcome.refusal)
        }
    }

    private fun callOf(request: CallerRequest): Outcome<PlainCall> {
        val path = request.http.path().substringBefore('?')
        if (!OutboundFilter.containsNoKey(path, request.keys)) {
            return failure(ErrorKind.KEY_IN_BODY, "the path holds the key; leave it out", "path")
        }
        val parameters = QueryParams.builder()
        OutboundFilter.parameters(request.parameters, request.keys).forEach {
            parameters.add(it.name, it.value)
        }
        val query = parameters.build().toQueryString()
        val call = PlainCall(
            method = request.http.method(),
            target = if (query.isEmpty()) path else "$path?$query",
            headers = OutboundFilter.requestHeaders(request.headers, request.keys),
            body = request.http.content().array()
        )
        return Outcome.Success(call)
    }

    private suspend fun dispatch(visit: Visit): Outcome<HttpResponse> =
        if (visit.isRepeatable) repeatable(visit) else once(visit)

    private suspend fun repeatable(visit: Visit): Outcome<HttpResponse> {
        var excluded = emptySet<String>()
        repeat(MAX_ATTEMPTS) {
            val admitted = admit(visit, excluded)
            val grant = when (admitted) {
                is Outcome.Success -> admitted.value
                is Outcome.Failure -> return if (excluded.isEmpty()) admitted else outcomeUnknown()
            }
            when (val result = send(visit, grant)) {
                is PlainResult.Answered -> return Outcome.Success(response(result.answer))

                is PlainResult.NotSent, is PlainResult.Unknown -> {
                    decisions.post(Update.ConnectionFailed(grant.server))
                    excluded = excluded + grant.server
                }
            }
        }
        return outcomeUnknown()
    }

    private suspend fun once(visit: Visit): Outcome<HttpResponse> {
        val key = visit.request.http.headers().get(IdempotencyKey.HEADER)
        return IdempotencyKey.validate(key).flatMap { checked ->
            val booking = Booking.of(
                account = visit.caller?.account?.name.orEmpty(),
                prefix = visit.entry.route.prefix,
                key = checked,
                target = "${visit.call.method} ${visit.call.target}",
                body = visit.request.http.contentUtf8()
            )
            gate.known(booking)?.flatMap { replay(it) } ?: openAndSend(visit, booking)
        }
    }

    private suspend fun openAndSend(visit: Visit, booking: Booking): Outcome<HttpResponse> =
        admit(visit, emptySet()).flatMap { grant ->
            when (val opened = gate.open(booking)) {
                is Outcome.Failure -> {
                    giveUp(visit, grant)
                    opened
                }

                is Outcome.Success -> when (val answer = opened.value) {
                    is GateAnswer.Send -> sendOnce(visit, booking, grant)

                    is GateAnswer.Replay -> {
                        giveUp(visit, grant)
                        replay(answer)
                    }
                }
            }
        }

    /** Once sent, the call goes on to its end although its caller may have gone. */
    private suspend fun sendOnce(
        visit: Visit,
        booking: Booking,
        grant: Grant
    ): Outcome<HttpResponse> = withContext(NonCancellable) {
        when (val result = send(visit, grant)) {
            is PlainResult.Answered -> {
                gate.settle(booking, stored(result.answer))
                Outcome.Success(response(result.answer))
            }

            is PlainResult.NotSent -> {
                gate.abandon(booking)
                refund(visit)
                decisions.post(Update.ConnectionFailed(grant.server))
                failure(
                    ErrorKind.NO_BACKEND,
                    "the backend server could not be reached; nothing was sent",
                    retryAfterMillis = RETRY_MILLIS
                )
            }

            is PlainResult.Unknown -> {
                decisions.post(Update.ConnectionFailed(grant.server))
                outcomeUnknown()
            }
        }
    }

    private suspend fun admit(visit: Visit, excluded: Set<String>): Outcome<Grant> {
        val account = visit.caller?.account
        val work = DispatchRequest(
            service = visit.entry.service,
            account = account?.name,
            reservedTokens = if (excluded.isEmpty()) visit.tokens else 0.0,
            excludedServers = excluded
        )
        return admitter.admit(work, account).flatMap { grant ->
            if (visit.caller.isStillValid()) {
                Outcome.Success(grant)
            } else {
                giveUp(visit, grant)
                failure(ErrorKind.KEY_UNKNOWN, "this key was withdrawn", "Authorization")
            }
        }
    }

    private fun Caller?.isStillValid(): Boolean =
        this == null || store.state.index.accountByKeyDigest(keySha256) != null

    private suspend fun send(visit: Visit, grant: Grant): PlainResult {
        try {
            val server = visit.index.server(grant.server)
                ?: return PlainResult.NotSent("${grant.server} left")
            return plain.send(server, visit.call)
        } finally {
            admitter.finish(grant)
        }
    }

    private fun giveUp(visit: Visit, grant: Grant) {
        admitter.finish(grant)
        refund(visit)
    }

    private fun refund(visit: Visit) {
        val account = visit.caller?.account ?: return
        decisions.post(Update.TokensReturned(account.name, visit.tokens))
    }

    private fun replay(answer: GateAnswer): Outcome<HttpResponse> {
        val stored = (answer as GateAnswer.Replay).answer
        val headers = ResponseHeaders.builder(HttpStatus.valueOf(stored.status))
            .add("idempotency-replayed", "true")
        stored.contentType?.let { headers.contentType(MediaType.parse(it)) }
        stored.location?.let { headers.add(HttpHeaderNames.LOCATION, it) }
        val body = HttpData.ofUtf8(stored.body.orEmpty())
        return Outcome.Success(HttpResponse.of(headers.build(), body))
    }

    private fun response(answer: PlainAnswer): HttpResponse {
        val headers = ResponseHeaders.builder(HttpStatus.valueOf(answer.status))
        answer.headers.forEach { headers.add(it.name, it.value) }
        return HttpResponse.of(headers.build(), HttpData.wrap(answer.body))
    }

    private fun stored(answer: PlainAnswer): StoredAnswer = StoredAnswer(
        status = answer.status,
        contentType = answer.header("content-type"),
        location = answer.header("location"),
        body = answer.body.decodeToString()
    )

    private fun outcomeUnknown(): Outcome.Failure = failure(
        ErrorKind.OUTCOME_UNKNOWN,
        "the backend server gave no answer; the call may have run"
    )

    private class Visit(
        val request: CallerRequest,
        val entry: RouteEntry,
        val caller: Caller?,
        val index: ConfigurationIndex,
        val call: PlainCall
    ) {
        val isRepeatable: Boolean = entry.route.repeatable || call.method in SAFE_METHODS
        val tokens: Double = entry.route.tokensPerCall.toDouble()
    }

    private companion object {
        const val MAX_ATTEMPTS = 2
        const val RETRY_MILLIS = 1_000L
        val SAFE_METHODS = setOf(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.OPTIONS)
    }
}
