package mustarddale.instance.serving.leader

import mustarddale.instance.serving.DecisionLog

/**
 * Contents of all engines, versioned so that the leader sends each instance only what changed since
 * its last message. Confined to one thread.
 *
 * @param onChanged called after each change.
 */
internal class EngineContentsRegistry(private val onChanged: () -> Unit) {
    private val versions = HashMap<String, Long>()
    private val contents = HashMap<String, EngineState>()

    /** The number of changes so far. */
    var version: Long = 0
        private set

    /**
     * Sets what [engine] holds.
     *
     * @param expectedAtMillis when each model being loaded should be ready, on the local monotonic
     *   clock.
     */
    fun update(
        engine: String,
        models: Map<String, List<String>>,
        expectedAtMillis: Map<String, Long>
    ) {
        val newState = EngineState(models, expectedAtMillis)
        if (contents[engine] == newState) return
        contents[engine] = newState
        version++
        versions[engine] = version
        DecisionLog.record(
            "engine_contents",
            "engine" to engine,
            "models" to models,
            "expectedAtMillis" to expectedAtMillis
        )
        onChanged()
    }

    /** Returns the engines changed since [seenVersion], with the load times left at [nowMillis]. */
    fun changesSince(seenVersion: Long, nowMillis: Long): List<EngineContents> =
        contents.filterKeys { (versions[it] ?: 0) > seenVersion }.map { (engine, state) ->
            val remainingMillis = state.expectedAtMillis.mapValues { it.value - nowMillis }
            EngineContents(engine, state.models, remainingMillis)
        }

    private data class EngineState(
        val models: Map<String, List<String>>,
        val expectedAtMillis: Map<String, Long>
    )
}
