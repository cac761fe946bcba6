/*
 * Puts the frames of one streamed answer in order. Each frame carries the id of its request and the
 * offset of its first token. Frames of other requests and repeated frames are dropped; a gap means
 * that the stream has to be resumed at the next token that is missing.
 */
package mustarddale.answer

/** One frame of a stream as an engine sends it. */
public data class StreamFrame(
    public val requestId: String,
    public val offset: Long,
    public val tokens: Int,
    public val data: String,
    public val isLast: Boolean = false
)

/** What to do with a frame. */
public sealed interface FrameDecision {
    /** Send it on to the caller. */
    public data class Deliver(public val nextAssembler: StreamAssembler) : FrameDecision

    /** It was delivered before, or belongs to another request. */
    public data object Drop : FrameDecision

    /** Frames from [fromOffset] on are missing; the stream must be resumed there. */
    public data class Gap(public val fromOffset: Long) : FrameDecision
}

/** The progress of the answer to [requestId]: the next token is the one at [nextOffset]. */
public data class StreamAssembler(
    public val requestId: String,
    public val nextOffset: Long = 0,
    public val isComplete: Boolean = false
) {
    /** Decides on [frame]. */
    public fun accept(frame: StreamFrame): FrameDecision = when {
        frame.requestId != requestId || isComplete -> FrameDecision.Drop

        frame.offset > nextOffset -> FrameDecision.Gap(nextOffset)

        frame.offset < nextOffset -> FrameDecision.Drop

        else -> FrameDecision.Deliver(
            copy(nextOffset = end(frame), isComplete = frame.isLast)
        )
    }

    private fun end(frame: StreamFrame): Long = frame.offset + frame.tokens
}
