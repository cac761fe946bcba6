package mustarddale.instance.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import java.io.IOException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Reads and writes frames: a length of four bytes, big-endian, then one message in CBOR. */
@OptIn(ExperimentalSerializationApi::class)
public object PeerCodec {
    private const val MAX_FRAME_BYTES = 4 * 1_024 * 1_024
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Writes [message] and sends it off. */
    public suspend fun write(channel: ByteWriteChannel, message: PeerMessage) {
        val bytes = cbor.encodeToByteArray<PeerMessage>(message)
        channel.writeInt(bytes.size)
        channel.writeByteArray(bytes)
        channel.flush()
    }

    /** Reads the next message. */
    public suspend fun read(channel: ByteReadChannel): PeerMessage {
        val size = channel.readInt()
        if (size !in 1..MAX_FRAME_BYTES) throw IOException("frame of $size bytes")
        return cbor.decodeFromByteArray<PeerMessage>(channel.readByteArray(size))
    }
}
