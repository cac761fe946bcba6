package mustarddale.instance.serving.forward

import com.linecorp.armeria.common.HttpData
import mustarddale.serving.buffer.BufferReservation

/**
 * The body of a request, which counts against the buffer budget until it is released.
 *
 * @param reservation the bytes that [data] takes.
 */
public class RequestBody(data: HttpData, private val reservation: BufferReservation) {
    private var held: HttpData? = data

    /** Whether the request has no body. */
    public val isEmpty: Boolean = data.isEmpty

    /** The bytes of the body; throws [IllegalStateException] after [release]. */
    public val data: HttpData get() = checkNotNull(held) { "the body has been released" }

    /** Drops the body, because it cannot be sent again. */
    public fun release() {
        held = null
        reservation.release()
    }
}
