package mustarddale.instance.serving.state

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet
import mustarddale.serving.backend.WantedModel

/** What engines hold, as the leader orders it; belongs to one thread. */
public class ResidencyView {
    private val byEngine = HashMap<String, ImmutableMap<String, ImmutableSet<String>>>()
    private val expectedAtMillis = HashMap<String, Map<String, Long>>()
    private val absentUntilMillis = HashMap<Pair<String, WantedModel>, Long>()
    private var heardAtMillis = Long.MIN_VALUE

    /** Notes that the leader was heard. */
    public fun recordLeaderContact(nowMillis: Long) {
        heardAtMillis = nowMillis
    }

    /** Takes in what the leader says that [engine] holds, and what is expected there when. */
    public fun update(
        engine: String,
        models: Map<String, Collection<String>>,
        expectedAt: Map<String, Long>
    ) {
        expectedAtMillis[engine] = expectedAt
        byEngine[engine] = models.mapValues { it.value.toImmutableSet() }.toImmutableMap()
    }

    /** Forgets [engine]. */
    public fun forget(engine: String) {
        byEngine.remove(engine)
        expectedAtMillis.remove(engine)
    }

    /** Forgets all that an earlier leader said. */
    public fun clear() {
        byEngine.clear()
        expectedAtMillis.clear()
    }

    /** Notes that [engine] answered that it does not hold [wanted]. */
    public fun absent(engine: String, wanted: WantedModel, nowMillis: Long) {
        absentUntilMillis.values.removeIf { it <= nowMillis }
        absentUntilMillis[engine to wanted] = nowMillis + ABSENT_MILLIS
    }

    /** Whether [engine] has just answered that it does not hold [wanted]. */
    public fun isAbsent(engine: String, wanted: WantedModel, nowMillis: Long): Boolean =
        (absentUntilMillis[engine to wanted] ?: 0) > nowMillis

    /** Returns when [model] should be at [engine], null if it is not on its way. */
    public fun expectedAtMillis(engine: String, model: String): Long? =
        expectedAtMillis[engine]?.get(model)

    /** Returns what the leader says that [engine] holds, null if it said nothing lately. */
    public fun modelsOf(
        engine: String,
        nowMillis: Long
    ): ImmutableMap<String, ImmutableSet<String>>? =
        byEngine[engine]?.takeIf { nowMillis - heardAtMillis < LEADER_VIEW_MILLIS }

    private companion object {
        /** The leader's reports on the engine have settled by then. */
        const val ABSENT_MILLIS = 400L

        /**
         * Without a leader nothing is ordered, so its last word holds for longer than its lease.
         */
        const val LEADER_VIEW_MILLIS = 20_000L
    }
}
