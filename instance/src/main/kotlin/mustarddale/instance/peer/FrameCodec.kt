package mustarddale.instance.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import java.io.IOException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor

/** Reads and writes frames: a length of four bytes, big-endian, then one message in CBOR. */
@OptIn(ExperimentalSerializationApi::class)
public class FrameCodec<M>(private val serializer: KSerializer<M>) {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Writes [message] and sends it off. */
    public suspend fun write(channel: ByteWriteChannel, message: M) {
        val bytes = cbor.encodeToByteArray(serializer, message)
        channel.writeInt(bytes.size)
        channel.writeByteArray(bytes)
        channel.flush()
    }

    /** Reads the next message. */
    public suspend fun read(channel: ByteReadChannel): M {
        val size = channel.readInt()
        if (size !in 1..MAX_FRAME_BYTES) throw IOException("frame of $size bytes")
        return cbor.decodeFromByteArray(serializer, channel.readByteArray(size))
    }

    private companion object {
        /** Far above the largest message, a snapshot part. */
        const val MAX_FRAME_BYTES = 4 * 1_024 * 1_024
    }
}
