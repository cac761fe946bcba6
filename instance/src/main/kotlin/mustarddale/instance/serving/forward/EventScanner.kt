package mustarddale.instance.serving.forward

/** Finds the ends of server-sent events in one stream; lines end with LF, CR LF or CR. */
public class EventScanner {
    private var isAtLineStart = true
    private var isAfterCarriageReturn = false
    private var isWithinEvent = false

    /** Whether the stream has had a complete event. */
    public var hasCompleteEvent: Boolean = false
        private set

    /** The length of the incomplete event at the end, 0 between two events. */
    public var partialEventBytes: Int = 0
        private set

    /** Scans the next [bytes]; returns how many of them belong to complete events. */
    public fun scan(bytes: ByteArray): Int {
        var completeBytes = 0
        bytes.forEachIndexed { index, byte ->
            accept(byte)
            if (!isWithinEvent) completeBytes = index + 1
        }
        partialEventBytes =
            if (completeBytes > 0) bytes.size - completeBytes else partialEventBytes + bytes.size
        return completeBytes
    }

    private fun accept(byte: Byte) {
        val endsCarriageReturn = byte == LF && isAfterCarriageReturn
        isAfterCarriageReturn = byte == CR
        when {
            endsCarriageReturn -> return

            byte == LF || byte == CR -> {
                if (isAtLineStart && isWithinEvent) {
                    isWithinEvent = false
                    hasCompleteEvent = true
                }
                isAtLineStart = true
            }

            else -> {
                isAtLineStart = false
                isWithinEvent = true
            }
        }
    }

    private companion object {
        const val LF = '\n'.code.toByte()
        const val CR = '\r'.code.toByte()
    }
}
