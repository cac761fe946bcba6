package mustarddale.instance.serving.relay

import com.linecorp.armeria.common.ResponseHeaders
import io.netty.util.AsciiString

/** What an instance says of a response that it relays to another instance. */
internal object RelayAnswer {
    private val versionHeader = AsciiString.cached("mustarddale-version")

    /** Returns [headers] with the software [version] of the server that wrote the response. */
    fun addTo(headers: ResponseHeaders, version: String): ResponseHeaders =
        headers.toBuilder().set(versionHeader, version).build()

    /** Returns the version in [headers], null if an instance of an earlier release sent them. */
    fun versionIn(headers: ResponseHeaders): String? = headers.get(versionHeader)

    /** Returns [headers] as the server wrote them. */
    fun removeFrom(headers: ResponseHeaders): ResponseHeaders =
        headers.toBuilder().removeAndThen(versionHeader).build()
}
