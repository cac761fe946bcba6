/*
 * The shares that an instance uses, with or without a leader. The leader grants only a part of each
 * rate and lends the rest on demand, which is not possible while there is no reachable leader. An
 * instance that has received no message from the leader for a while is leaderless: it scales its
 * shares up as if the whole rate had been granted. The leader reduces what it lends before that: it
 * counts from when it sent the newest message that the instance has confirmed, while the instance
 * counts from the later time at which the message arrived.
 */
package mustarddale.serving.quota

/** Computes the shares that one instance may use; not thread-safe. */
public class EffectiveShares {
    private var lastMessageAtMillis = Long.MAX_VALUE

    /** Whether the shares were scaled up to the whole rate at the last call of [compute]. */
    public var isLeaderless: Boolean = false
        private set

    /** Records a message from the leader. */
    public fun onLeaderMessage(nowMillis: Long) {
        lastMessageAtMillis = nowMillis
        isLeaderless = false
    }

    /** Records that the leader that granted the current shares has stopped leading. */
    public fun onLeadershipEnded() {
        if (lastMessageAtMillis != Long.MAX_VALUE) lastMessageAtMillis = Long.MIN_VALUE
    }

    /** Returns the usable shares; the [granted] shares of all instances add up to [total]. */
    public fun compute(
        granted: Map<String, Double>,
        total: Double,
        nowMillis: Long
    ): Map<String, Double> {
        isLeaderless = lastMessageAtMillis < nowMillis - LEADERLESS_AFTER_MILLIS
        return if (isLeaderless) granted.mapValues { it.value / total } else granted
    }

    internal companion object {
        /** The leader answers four reports a second, so a longer silence indicates a failure. */
        const val LEADERLESS_AFTER_MILLIS = 1_100L

        /**
         * Shorter than [LEADERLESS_AFTER_MILLIS] by more than the interval of grants, at which the
         * leader updates what it lends, and the drift between two clocks.
         */
        const val UNREACHABLE_AFTER_MILLIS = 700L

        /**
         * Whether an instance whose newest confirmed message was sent at [sentMillis], null for no
         * message, may be leaderless now or before the leader next updates what it lends.
         */
        fun mayBeLeaderless(sentMillis: Long?, nowMillis: Long): Boolean =
            sentMillis == null || nowMillis - sentMillis >= UNREACHABLE_AFTER_MILLIS
    }
}
