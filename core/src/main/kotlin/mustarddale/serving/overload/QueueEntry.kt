package mustarddale.serving.overload

/**
 * A request that waits until a server has room.
 *
 * @property requestId spreads the retries of refused requests.
 * @property account the client account, empty if the request has none.
 * @property priority 0 is the most urgent.
 * @property cost what the request uses of its account's share: its tokens divided by the account's
 *   rate.
 * @property sinceMillis when the request arrived.
 * @property onTimeByMillis when it must begin to be answered within its target.
 * @property callerLeavesAtMillis when its caller gives up if nothing has begun.
 * @param restriction returns whether the request may use only some of the servers, which changes
 *   with the servers.
 */
public class QueueEntry(
    public val requestId: String,
    public val account: String,
    public val priority: Int,
    public val cost: Double,
    public val sinceMillis: Long,
    public val onTimeByMillis: Long,
    public val callerLeavesAtMillis: Long,
    private val restriction: () -> Boolean = { false }
) {
    /** Whether the request may use only some of the servers, so that others pass it. */
    public val isRestricted: Boolean get() = restriction()

    /** The time by which the request must have begun; later, too little of its time is left. */
    public val beginByMillis: Long =
        sinceMillis + ((callerLeavesAtMillis - sinceMillis) * BEGIN_SHARE).toLong()

    /** Whether the request can no longer be answered within its target. */
    public fun isLate(nowMillis: Long): Boolean = nowMillis > onTimeByMillis

    private companion object {
        /** The rest is for the server's first event and for the way back. */
        const val BEGIN_SHARE = 0.75
    }
}

/** What happens to a request that finds no room. */
public sealed interface QueueDecision {
    /** It waits; [evicted] is refused in its place, null if the queue had room. */
    public data class Wait(public val evicted: QueueEntry?) : QueueDecision

    /** It is refused, and may return after [retryAfterMillis]. */
    public data class Refuse(public val reason: RefusalReason, public val retryAfterMillis: Long) :
        QueueDecision
}

/** Why a request does not wait, or no longer. */
public enum class RefusalReason(public val text: String) {
    /** It would begin too late for its caller. */
    TOO_LATE("no room is expected in time"),

    /** The queue is full of requests that come first. */
    QUEUE_FULL("the queue is full"),

    /** A more urgent request took its place in a full queue. */
    EVICTED("more urgent requests fill the queue"),

    /** The instance shuts down. */
    CLOSED("the instance is shutting down")
}
