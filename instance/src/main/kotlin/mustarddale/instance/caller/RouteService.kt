/*
 * Calls to configured routes. A call with a safe HTTP method, or to a route that is configured as
 * repeatable, may be sent again to another backend server. Any other call passes the at-most-once
 * guard and is sent once; if the caller repeats it, it is sent again only if it is certain that it
 * was not sent before.
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

/** Forwards calls to the backend servers of the configured routes. */
public class RouteService(
    private val store: ControlStore,
    private val admissionController: AdmissionController,
    private val routeClient: RouteClient,
    private val guard: AtMostOnceGuard,
    private val dispatchLoop: DispatchLoop
) {
    /** Handles [request] to the route [entry] under the configuration [index]. */
    public suspend fun serve(
        request: CallerRequest,
        entry: RouteEntry,
        index: ConfigurationIndex
    ): HttpResponse {
        val caller: AuthenticatedCaller? = when (entry.route.access) {
            Access.OPEN -> null

            Access.KEYED -> when (val found = request.authenticate(index)) {
                is Outcome.Success -> found.value
                is Outcome.Failure -> return ErrorResponse.of(found.refusal)
            }
        }
        val outcome = request.keyFreeBody()
            .flatMap { toRouteCall(request) }
            .flatMap { call -> dispatch(RouteRequest(request, entry, caller, index, call)) }
        return when (outcome) {
            is Outcome.Success -> outcome.value
            is Outcome.Failure -> ErrorResponse.of(outcome.refusal)
        }
    }

    private fun toRouteCall(request: CallerRequest): Outcome<RouteCall> {
        val path = request.http.path().substringBefore('?')
        if (!OutboundFilter.containsNoKey(path, request.keys)) {
            return failure(ErrorKind.KEY_IN_BODY, "path: must not contain the API key", "path")
        }
        val parameters = QueryParams.builder()
        OutboundFilter.parameters(request.parameters, request.keys).forEach {
            parameters.add(it.name, it.value)
        }
        val query = parameters.build().toQueryString()
        val call = RouteCall(
            method = request.http.method(),
            target = if (query.isEmpty()) path else "$path?$query",
            headers = OutboundFilter.requestHeaders(request.headers, request.keys),
            body = request.http.content().array()
        )
        return Outcome.Success(call)
    }

    private suspend fun dispatch(request: RouteRequest): Outcome<HttpResponse> =
        if (request.isRepeatable) sendRepeatable(request) else sendNonRepeatable(request)

    private suspend fun sendRepeatable(request: RouteRequest): Outcome<HttpResponse> {
        var excluded = emptySet<String>()
        repeat(MAX_ATTEMPTS) {
            val admitted = admit(request, excluded)
            val grant = when (admitted) {
                is Outcome.Success -> admitted.value
                is Outcome.Failure -> return if (excluded.isEmpty()) admitted else outcomeUnknown()
            }
            when (val result = send(request, grant)) {
                is RouteResult.Responded -> return Outcome.Success(httpResponse(result.response))

                is RouteResult.NotSent, is RouteResult.Unknown -> {
                    dispatchLoop.post(Update.ConnectionFailed(grant.server))
                    excluded = excluded + grant.server
                }
            }
        }
        return outcomeUnknown()
    }

    private suspend fun sendNonRepeatable(request: RouteRequest): Outcome<HttpResponse> {
        val key = request.callerRequest.http.headers().get(IdempotencyKey.HEADER)
        return IdempotencyKey.validate(key).flatMap { checked ->
            val nonRepeatable = NonRepeatableCall.of(
                account = request.caller?.account?.name.orEmpty(),
                prefix = request.entry.route.prefix,
                key = checked,
                methodAndTarget = "${request.call.method} ${request.call.target}",
                body = request.callerRequest.http.contentUtf8()
            )
            guard.lookUp(nonRepeatable)?.flatMap { replay(it) }
                ?: openAndSend(request, nonRepeatable)
        }
    }

    private suspend fun openAndSend(
        request: RouteRequest,
        nonRepeatable: NonRepeatableCall
    ): Outcome<HttpResponse> = admit(request, emptySet()).flatMap { grant ->
        when (val opened = guard.open(nonRepeatable)) {
            is Outcome.Failure -> {
                releaseGrant(request, grant)
                opened
            }

            is Outcome.Success -> when (val decision = opened.value) {
                is GuardDecision.Send -> sendOnce(request, nonRepeatable, grant)

                is GuardDecision.Replay -> {
                    releaseGrant(request, grant)
                    replay(decision)
                }
            }
        }
    }

    /** Sends the call and records its answer, even if the caller disconnects in the meantime. */
    private suspend fun sendOnce(
        request: RouteRequest,
        nonRepeatable: NonRepeatableCall,
        grant: Grant
    ): Outcome<HttpResponse> = withContext(NonCancellable) {
        when (val result = send(request, grant)) {
            is RouteResult.Responded -> {
                guard.settle(nonRepeatable, storedAnswer(result.response))
                Outcome.Success(httpResponse(result.response))
            }

            is RouteResult.NotSent -> {
                guard.abandon(nonRepeatable)
                refund(request)
                dispatchLoop.post(Update.ConnectionFailed(grant.server))
                failure(
                    ErrorKind.NO_BACKEND,
                    "the backend server could not be reached; the call was not sent",
                    retryAfterMillis = RETRY_AFTER_MILLIS
                )
            }

            is RouteResult.Unknown -> {
                dispatchLoop.post(Update.ConnectionFailed(grant.server))
                outcomeUnknown()
            }
        }
    }

    private suspend fun admit(request: RouteRequest, excluded: Set<String>): Outcome<Grant> {
        val account = request.caller?.account
        val dispatchRequest = DispatchRequest(
            service = request.entry.service,
            account = account?.name,
            reservedTokens = if (excluded.isEmpty()) request.chargedTokens else 0.0,
            excludedServers = excluded
        )
        return admissionController.admit(dispatchRequest, account).flatMap { grant ->
            if (request.caller.isStillValid()) {
                Outcome.Success(grant)
            } else {
                releaseGrant(request, grant)
                failure(ErrorKind.KEY_UNKNOWN, "the API key was withdrawn", "Authorization")
            }
        }
    }

    private fun AuthenticatedCaller?.isStillValid(): Boolean =
        this == null || store.state.index.accountByKeyDigest(keySha256) != null

    private suspend fun send(request: RouteRequest, grant: Grant): RouteResult {
        try {
            val server = request.index.server(grant.server)
                ?: return RouteResult.NotSent("${grant.server} is no longer configured")
            return routeClient.send(server, request.call)
        } finally {
            admissionController.finish(grant)
        }
    }

    private fun releaseGrant(request: RouteRequest, grant: Grant) {
        admissionController.finish(grant)
        refund(request)
    }

    private fun refund(request: RouteRequest) {
        val account = request.caller?.account ?: return
        dispatchLoop.post(Update.TokensReturned(account.name, request.chargedTokens))
    }

    private fun replay(decision: GuardDecision): Outcome<HttpResponse> {
        val stored = (decision as GuardDecision.Replay).answer
        val headers = ResponseHeaders.builder(HttpStatus.valueOf(stored.status))
            .add("idempotency-replayed", "true")
        stored.contentType?.let { headers.contentType(MediaType.parse(it)) }
        stored.location?.let { headers.add(HttpHeaderNames.LOCATION, it) }
        val body = HttpData.ofUtf8(stored.body.orEmpty())
        return Outcome.Success(HttpResponse.of(headers.build(), body))
    }

    private fun httpResponse(response: RouteResponse): HttpResponse {
        val headers = ResponseHeaders.builder(HttpStatus.valueOf(response.status))
        response.headers.forEach { headers.add(it.name, it.value) }
        return HttpResponse.of(headers.build(), HttpData.wrap(response.body))
    }

    private fun storedAnswer(response: RouteResponse): StoredAnswer = StoredAnswer(
        status = response.status,
        contentType = response.header("content-type"),
        location = response.header("location"),
        body = response.body.decodeToString()
    )

    private fun outcomeUnknown(): Outcome.Failure = failure(
        ErrorKind.OUTCOME_UNKNOWN,
        "the backend server did not respond; the call may have run"
    )

    private class RouteRequest(
        val callerRequest: CallerRequest,
        val entry: RouteEntry,
        val caller: AuthenticatedCaller?,
        val index: ConfigurationIndex,
        val call: RouteCall
    ) {
        val isRepeatable: Boolean = entry.route.repeatable || call.method in SAFE_METHODS
        val chargedTokens: Double = entry.route.tokensPerCall.toDouble()
    }

    private companion object {
        const val MAX_ATTEMPTS = 2
        const val RETRY_AFTER_MILLIS = 1_000L
        val SAFE_METHODS = setOf(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.OPTIONS)
    }
}
