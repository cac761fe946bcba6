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

    /**
     * Appends [bytes], the first [completeBytes] of which belong to complete events; returns all
     * events that are complete now.
     */
    public fun append(bytes: ByteArray, completeBytes: Int): ByteArray {
        if (completeBytes == 0) {
            partialEvent += bytes
            return ByteArray(0)
        }
        val completeEvents = partialEvent + bytes.copyOfRange(0, completeBytes)
        partialEvent = bytes.copyOfRange(completeBytes, bytes.size)
        idOfLastEvent(completeEvents)?.let { lastEventId = it }
        return completeEvents
    }

    /** Discards the incomplete event at the end. */
    public fun dropPartialEvent() {
        partialEvent = ByteArray(0)
    }

    private fun idOfLastEvent(events: ByteArray): String? = String(events, Charsets.UTF_8)
        .lineSequence()
        .lastOrNull { it.startsWith(ID_FIELD) }
        ?.removePrefix(ID_FIELD)
        ?.trim()

    private companion object {
        const val ID_FIELD = "id:"
    }
}
