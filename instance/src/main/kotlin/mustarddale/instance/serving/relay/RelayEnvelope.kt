package mustarddale.instance.serving.relay

import com.linecorp.armeria.common.RequestHeaders
import io.netty.util.AsciiString
import java.util.Base64
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/**
 * What an instance says of a request that it has admitted and another instance is to forward.
 *
 * @property run the process that the request is meant for, which only instances know.
 * @property account the client account whose tokens have been taken, null for none.
 * @property configurationVersion the version under which the request was admitted.
 * @property maxAttempts on how many servers the request may run.
 * @property serverVersion the software version that began the stream, null if any may serve.
 */
@Serializable
internal data class RelayEnvelope(
    val run: String,
    val account: String?,
    val configurationVersion: Long,
    val maxAttempts: Int,
    val serverVersion: String?
) {
    /** Returns [headers] with this envelope. */
    @OptIn(ExperimentalSerializationApi::class)
    fun addTo(headers: RequestHeaders): RequestHeaders {
        val bytes = Cbor.encodeToByteArray(serializer(), this)
        return headers.toBuilder().set(header, encoder.encodeToString(bytes)).build()
    }

    companion object {
        private val header = AsciiString.cached("mustarddale-relay")
        private val encoder = Base64.getUrlEncoder().withoutPadding()

        /** Whether [headers] hold an envelope. */
        fun isIn(headers: RequestHeaders): Boolean = headers.contains(header)

        /** Returns the envelope in [headers], null if there is none that can be read. */
        @OptIn(ExperimentalSerializationApi::class)
        fun of(headers: RequestHeaders): RelayEnvelope? = try {
            headers.get(header)?.let {
                Cbor.decodeFromByteArray(serializer(), Base64.getUrlDecoder().decode(it))
            }
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }

        /** Returns [headers] without an envelope. */
        fun removeFrom(headers: RequestHeaders): RequestHeaders =
            headers.toBuilder().removeAndThen(header).build()
    }
}
