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

/** Reads and writes frames: a 4-byte big-endian length, followed by one CBOR-encoded message. */
@OptIn(ExperimentalSerializationApi::class)
public class FrameCodec<M>(private val serializer: KSerializer<M>) {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Writes [message] and flushes [channel]. */
    public suspend fun write(channel: ByteWriteChannel, message: M) {
        val bytes = cbor.encodeToByteArray(serializer, message)
        channel.writeInt(bytes.size)
        channel.writeByteArray(bytes)
        channel.flush()
    }

    /** Reads the next message; throws [IOException] if the frame length is invalid. */
    public suspend fun read(channel: ByteReadChannel): M {
        val size = channel.readInt()
        if (size !in 1..MAX_FRAME_BYTES) throw IOException("invalid frame length: $size bytes")
        return cbor.decodeFromByteArray(serializer, channel.readByteArray(size))
    }

    private companion object {
        /** Far above the size of a part of a snapshot, which is the largest message. */
        const val MAX_FRAME_BYTES = 4 * 1_024 * 1_024
    }
}
