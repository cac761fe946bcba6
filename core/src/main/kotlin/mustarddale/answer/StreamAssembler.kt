/*
 * Assembles the frames of one streamed response in order. Each frame carries its request id and the
 * offset of its first token. Frames of other requests and duplicate frames are dropped; after a gap
 * the stream has to be resumed at the first missing token.
 */
package mustarddale.answer

/** One frame of a response stream, as received from an engine. */
public data class StreamFrame(
    public val requestId: String,
    public val offset: Long,
    public val tokens: Int,
    public val data: String,
    public val isLast: Boolean = false
)

/** The decision on one frame. */
public sealed interface FrameDecision {
    /** Forward the frame to the caller and continue with [nextAssembler]. */
    public data class Deliver(public val nextAssembler: StreamAssembler) : FrameDecision

    /** Ignore the frame: it is a duplicate or belongs to another request. */
    public data object Drop : FrameDecision

    /** Tokens from [fromOffset] on are missing; the stream has to be resumed there. */
    public data class Gap(public val fromOffset: Long) : FrameDecision
}

/** The progress of the response to [requestId]; [nextOffset] is the next expected token. */
public data class StreamAssembler(
    public val requestId: String,
    public val nextOffset: Long = 0,
    public val isComplete: Boolean = false
) {
    /** Decides whether [frame] is delivered or dropped, or shows a gap. */
    public fun accept(frame: StreamFrame): FrameDecision = when {
        frame.requestId != requestId || isComplete -> FrameDecision.Drop

        frame.offset > nextOffset -> FrameDecision.Gap(nextOffset)

        frame.offset < nextOffset -> FrameDecision.Drop

        else -> FrameDecision.Deliver(
            copy(nextOffset = endOffset(frame), isComplete = frame.isLast)
        )
    }

    private fun endOffset(frame: StreamFrame): Long = frame.offset + frame.tokens
}
