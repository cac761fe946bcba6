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
    private val absentUntilMillis = HashMap<ModelRef, HashMap<String, Long>>()
    private var leaderContactMillis: Long? = null

    /** Grows with each change of the models that engines hold. */
    public var version: Long = 0
        private set

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
        val held = models.mapValues { it.value.toImmutableSet() }.toImmutableMap()
        if (modelsByEngine.put(engine, held) != held) version++
    }

    /** Removes what is known of [engine]. */
    public fun removeEngine(engine: String) {
        if (modelsByEngine.remove(engine) != null) version++
        expectedAtMillis.remove(engine)
    }

    /** Removes what an earlier leader reported. */
    public fun clear() {
        modelsByEngine.clear()
        version++
        expectedAtMillis.clear()
    }

    /** Records that [engine] has refused a request because it lacks [requestedModel]. */
    public fun markAbsent(engine: String, requestedModel: ModelRef, nowMillis: Long) {
        absentUntilMillis.values.forEach { engines -> engines.values.removeIf { it <= nowMillis } }
        absentUntilMillis.values.removeIf { it.isEmpty() }
        absentUntilMillis.getOrPut(requestedModel) { HashMap() }[engine] =
            nowMillis + ABSENCE_TTL_MILLIS
    }

    /** Returns the engines that have recently refused a request for lack of [requestedModel]. */
    public fun enginesReportedAbsent(requestedModel: ModelRef, nowMillis: Long): Set<String> {
        val engines = absentUntilMillis[requestedModel] ?: return emptySet()
        return engines.filterValues { it > nowMillis }.keys
    }

    /** Whether the leader has been heard of so recently that what it reported still applies. */
    public fun isCurrent(nowMillis: Long): Boolean =
        leaderContactMillis?.let { nowMillis - it < LEADER_STATE_TTL_MILLIS } ?: false

    /** Returns when [engine] should hold [model], null if no load is expected. */
    public fun expectedAtMillis(engine: String, model: String): Long? =
        expectedAtMillis[engine]?.get(model)

    /** Returns the models that [engine] holds, null if the leader reported none recently. */
    public fun modelsOf(
        engine: String,
        nowMillis: Long
    ): ImmutableMap<String, ImmutableSet<String>>? =
        modelsByEngine[engine]?.takeIf { isCurrent(nowMillis) }

    private companion object {
        /** After this time the leader has fetched the engine's new report and passed it on. */
        const val ABSENCE_TTL_MILLIS = 400L

        /** Longer than a leader's lease, as engines' models change only by a leader's orders. */
        const val LEADER_STATE_TTL_MILLIS = 20_000L
    }
}
