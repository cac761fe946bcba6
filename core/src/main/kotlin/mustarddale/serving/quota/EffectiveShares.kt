/*
 * What an instance may use while its leader is silent. The leader grants only a part of each rate
 * and lends the rest on demand; nobody lends while there is no leader, or none within reach. An
 * instance that has heard nothing for a while uses its shares as if the whole rate were granted.
 * The leader stops lending as much earlier: it counts from when it sent the newest message that the
 * instance has confirmed, the instance from when that message arrived.
 */
package mustarddale.serving.quota

/** The shares in force at one instance; belongs to one thread. */
public class EffectiveShares {
    private var heardAtMillis = Long.MAX_VALUE

    /** Whether the instance uses its shares of the whole rate. */
    public var isLeaderless: Boolean = false
        private set

    /** Notes that the leader was heard. */
    public fun onLeaderMessage(nowMillis: Long) {
        heardAtMillis = nowMillis
        isLeaderless = false
    }

    /** Notes that the leader whose shares are in force has told that it leads no more. */
    public fun onLeadershipEnded() {
        if (heardAtMillis != Long.MAX_VALUE) heardAtMillis = Long.MIN_VALUE
    }

    /** Returns what may be used of [granted] shares, which add up to [total] over the fleet. */
    public fun compute(
        granted: Map<String, Double>,
        total: Double,
        nowMillis: Long
    ): Map<String, Double> {
        isLeaderless = heardAtMillis < nowMillis - ALONE_AFTER_MILLIS
        return if (isLeaderless) granted.mapValues { it.value / total } else granted
    }

    internal companion object {
        /** Four reports are answered within a second, so a longer silence has a cause. */
        const val ALONE_AFTER_MILLIS = 1_100L

        /**
         * Earlier than [ALONE_AFTER_MILLIS] by more than a round of grants, after which the leader
         * lends less, and by the drift of two clocks.
         */
        const val UNCONFIRMED_AFTER_MILLIS = 700L

        /** Whether an instance that confirmed a message sent at [sentMillis] may soon be alone. */
        fun mayBeAlone(sentMillis: Long?, nowMillis: Long): Boolean =
            sentMillis == null || nowMillis - sentMillis >= UNCONFIRMED_AFTER_MILLIS
    }
}
