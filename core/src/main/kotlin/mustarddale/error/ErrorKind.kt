/*
 * All errors that callers and operators can receive, with the response for each. A kind has
 * Executed.NO only if no code path that raises it can have sent the request to a backend server.
 */
package mustarddale.error

/** Whether the failed request may have run on a backend server. */
public enum class Executed {
    /** The request did not run and will not run. */
    NO,

    /** The request may have run. */
    UNKNOWN
}

/**
 * A kind of error with its HTTP response.
 *
 * @property code the value of the response field `kind`.
 * @property httpStatus the HTTP status of the response.
 * @property type the value of the OpenAI error field `type`.
 */
public enum class ErrorKind(
    public val code: String,
    public val httpStatus: Int,
    public val type: String,
    public val executed: Executed
) {
    INVALID_REQUEST("invalid_request", 400, INVALID, Executed.NO),
    KEY_IN_BODY("key_in_body", 400, INVALID, Executed.NO),
    BURST_EXCEEDED("burst_exceeded", 400, INVALID, Executed.NO),
    IDEMPOTENCY_KEY_MISSING("idempotency_key_missing", 400, INVALID, Executed.NO),
    KEY_MISSING("key_missing", 401, AUTHENTICATION, Executed.NO),
    KEY_UNKNOWN("key_unknown", 401, AUTHENTICATION, Executed.NO),
    KEY_AMBIGUOUS("key_ambiguous", 401, AUTHENTICATION, Executed.NO),
    ACCOUNT_UNUSABLE("account_unusable", 403, AUTHENTICATION, Executed.NO),
    OPERATOR_UNKNOWN("operator_unknown", 401, AUTHENTICATION, Executed.NO),
    MODEL_UNKNOWN("model_not_found", 404, INVALID, Executed.NO),
    ROUTE_UNKNOWN("route_not_found", 404, INVALID, Executed.NO),
    METHOD_NOT_ALLOWED("method_not_allowed", 405, INVALID, Executed.NO),
    BODY_TOO_SLOW("body_too_slow", 408, INVALID, Executed.NO),
    REVISION_CONFLICT("revision_conflict", 409, INVALID, Executed.NO),
    IDEMPOTENCY_IN_PROGRESS("idempotency_in_progress", 409, INVALID, Executed.UNKNOWN),
    IDEMPOTENCY_KEY_EXPIRED("idempotency_key_expired", 409, INVALID, Executed.UNKNOWN),
    BODY_TOO_LARGE("body_too_large", 413, INVALID, Executed.NO),
    IDEMPOTENCY_BODY_DIFFERS("idempotency_body_differs", 422, INVALID, Executed.UNKNOWN),
    WRONG_INSTANCE("wrong_instance", 421, SERVER, Executed.NO),
    RATE_EXCEEDED("rate_exceeded", 429, "rate_limit_error", Executed.NO),
    INTERNAL("internal", 500, SERVER, Executed.UNKNOWN),
    BACKEND_FAILED("backend_failed", 502, SERVER, Executed.UNKNOWN),
    OUTCOME_UNKNOWN("outcome_unknown", 502, SERVER, Executed.UNKNOWN),
    TIMED_OUT("timed_out", 504, SERVER, Executed.UNKNOWN),
    NOT_READY("not_ready", 503, SERVER, Executed.NO),
    OVERLOADED("overloaded", 503, SERVER, Executed.NO),
    NO_BACKEND("no_backend", 503, SERVER, Executed.NO),
    PROMPT_BLOCKED("prompt_blocked", 503, SERVER, Executed.NO),
    REQUEST_BLOCKED("request_blocked", 503, SERVER, Executed.NO),
    STREAM_NOT_RESUMABLE("stream_not_resumable", 503, SERVER, Executed.NO),
    BACKEND_COLD("backend_cold", 503, SERVER, Executed.NO),
    LOG_UNAVAILABLE("log_unavailable", 503, SERVER, Executed.NO),
    IDEMPOTENCY_TABLE_FULL("idempotency_table_full", 503, SERVER, Executed.NO)
}

// Values of the OpenAI error field `type`.
private const val INVALID = "invalid_request_error"
private const val AUTHENTICATION = "authentication_error"
private const val SERVER = "server_error"
