/*
 * Splits a stream of server-sent events at event boundaries, so that a stream that breaks within an
 * event can be resumed after the last complete one.
 */
package mustarddale.instance.serving.forward

/** Splits one stream, which begins after the event [lastEventId]. */
public class EventSplitter(lastEventId: String?) {
    private var partialEvent = ByteArray(0)

    /** Id of the last complete event; before the first, the id that the stream began after. */
    public var lastEventId: String? = lastEventId
        private set

    /** Whether the bytes so far end within an event. */
    public val hasPartialEvent: Boolean get() = partialEvent.isNotEmpty()

    /** The length of the incomplete event at the end. */
    public val partialEventBytes: Int get() = partialEvent.size

    /** Appends [bytes] and returns all events that are complete now. */
    public fun append(bytes: ByteArray): ByteArray {
        val all = partialEvent + bytes
        val end = endOfLastEvent(all)
        partialEvent = all.copyOfRange(end, all.size)
        val completeEvents = all.copyOfRange(0, end)
        idOfLastEvent(completeEvents)?.let { lastEventId = it }
        return completeEvents
    }

    /** Discards the incomplete event at the end. */
    public fun dropPartialEvent() {
        partialEvent = ByteArray(0)
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
