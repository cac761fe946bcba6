package mustarddale.instance.serving.state

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet
import mustarddale.serving.backend.ModelRef

/** The models that engines hold, as the leader reports them; confined to one thread. */
public class ResidencyView {
    private val modelsByEngine = HashMap<String, ImmutableMap<String, ImmutableSet<String>>>()
    private val expectedAtMillis = HashMap<String, Map<String, Long>>()
    private val absentUntilMillis = HashMap<Pair<String, ModelRef>, Long>()
    private var leaderContactMillis = Long.MIN_VALUE

    /** Records that a message of the leader arrived. */
    public fun recordLeaderContact(nowMillis: Long) {
        leaderContactMillis = nowMillis
    }

    /**
     * Replaces the [models] that [engine] holds, each with its adapters, and the times at which it
     * should hold others.
     */
    public fun update(
        engine: String,
        models: Map<String, Collection<String>>,
        newExpectedAtMillis: Map<String, Long>
    ) {
        expectedAtMillis[engine] = newExpectedAtMillis
        modelsByEngine[engine] = models.mapValues { it.value.toImmutableSet() }.toImmutableMap()
    }

    /** Removes what is known of [engine]. */
    public fun removeEngine(engine: String) {
        modelsByEngine.remove(engine)
        expectedAtMillis.remove(engine)
    }

    /** Removes what an earlier leader reported. */
    public fun clear() {
        modelsByEngine.clear()
        expectedAtMillis.clear()
    }

    /** Records that [engine] has refused a request because it lacks [requestedModel]. */
    public fun markAbsent(engine: String, requestedModel: ModelRef, nowMillis: Long) {
        absentUntilMillis.values.removeIf { it <= nowMillis }
        absentUntilMillis[engine to requestedModel] = nowMillis + ABSENCE_TTL_MILLIS
    }

    /** Returns whether [engine] has recently refused a request for lack of [requestedModel]. */
    public fun isReportedAbsent(
        engine: String,
        requestedModel: ModelRef,
        nowMillis: Long
    ): Boolean = (absentUntilMillis[engine to requestedModel] ?: 0) > nowMillis

    /** Returns when [engine] should hold [model], null if no load is expected. */
    public fun expectedAtMillis(engine: String, model: String): Long? =
        expectedAtMillis[engine]?.get(model)

    /** Returns the models that [engine] holds, null if the leader reported none recently. */
    public fun modelsOf(
        engine: String,
        nowMillis: Long
    ): ImmutableMap<String, ImmutableSet<String>>? =
        modelsByEngine[engine]?.takeIf { nowMillis - leaderContactMillis < LEADER_STATE_TTL_MILLIS }

    private companion object {
        /** After this time the leader has fetched the engine's new report and passed it on. */
        const val ABSENCE_TTL_MILLIS = 400L

        /** Longer than a leader's lease, as engines' models change only by a leader's orders. */
        const val LEADER_STATE_TTL_MILLIS = 20_000L
    }
}
