package mustarddale.instance.caller

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.ServerErrorHandler
import com.linecorp.armeria.server.ServiceConfig
import com.linecorp.armeria.server.ServiceRequestContext
import mustarddale.error.ErrorKind
import mustarddale.error.Refusal

/** Renders errors that the HTTP server raises in the same format as all other errors. */
public class CallerErrorHandler(private val maxBodyBytes: Long) : ServerErrorHandler {
    override fun onServiceException(
        context: ServiceRequestContext,
        cause: Throwable
    ): HttpResponse? = null

    override fun renderStatus(
        context: ServiceRequestContext?,
        config: ServiceConfig,
        headers: RequestHeaders?,
        status: HttpStatus,
        description: String?,
        cause: Throwable?
    ): AggregatedHttpResponse = ErrorResponse.of(refusal(status, description)).aggregate().join()

    private fun refusal(status: HttpStatus, description: String?): Refusal = when {
        status == HttpStatus.REQUEST_ENTITY_TOO_LARGE -> Refusal(
            ErrorKind.BODY_TOO_LARGE,
            "the body exceeds $maxBodyBytes bytes",
            "body"
        )

        status.isClientError -> Refusal(
            ErrorKind.INVALID_REQUEST,
            description ?: "invalid HTTP request: $status"
        )

        else -> Refusal(ErrorKind.INTERNAL, "internal error of the instance")
    }
}
