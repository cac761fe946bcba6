/*
 * Divides a stream of server-sent events into whole events, so that a stream which breaks within an
 * event can go on behind the last whole one.
 */
package mustarddale.instance.serving.forward

/** Follows one stream; [lastEventId] is the event behind which it begins. */
public class EventTracker(lastEventId: String?) {
    private var part = ByteArray(0)

    /** The id of the last whole event, null before the first. */
    public var lastEventId: String? = lastEventId
        private set

    /** Whether an event has begun and not ended. */
    public val hasPart: Boolean get() = part.isNotEmpty()

    /** Takes in [bytes] and returns the whole events that they complete. */
    public fun take(bytes: ByteArray): ByteArray {
        val all = part + bytes
        val end = endOfLastEvent(all)
        part = all.copyOfRange(end, all.size)
        val whole = all.copyOfRange(0, end)
        idOfLastEvent(whole)?.let { lastEventId = it }
        return whole
    }

    /** Drops the event that has begun. */
    public fun dropPart() {
        part = ByteArray(0)
    }

    private fun endOfLastEvent(bytes: ByteArray): Int {
        for (index in bytes.size - 1 downTo 1) {
            if (bytes[index] != LF) continue
            val isBlank = bytes[index - 1] == LF ||
                index > 1 && bytes[index - 1] == CR && bytes[index - 2] == LF
            if (isBlank) return index + 1
        }
        return 0
    }

    private fun idOfLastEvent(events: ByteArray): String? = String(events, Charsets.UTF_8)
        .lineSequence()
        .lastOrNull { it.startsWith(ID_FIELD) }
        ?.removePrefix(ID_FIELD)
        ?.trim()

    private companion object {
        const val LF = '\n'.code.toByte()
        const val CR = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
