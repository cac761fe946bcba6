package mustarddale.instance.serving.leader

import mustarddale.instance.serving.DecisionLog

/**
 * What the leader tells of engines' contents, with a version for each change, so that an instance
 * is told only what it has not seen. Belongs to one thread.
 *
 * @param onChanged called after each change.
 */
internal class EngineContentsRegistry(private val onChanged: () -> Unit) {
    private val versions = HashMap<String, Long>()
    private val contents = HashMap<String, KnownContents>()

    /** Counts the changes. */
    var version: Long = 0
        private set

    /** Notes what [engine] holds, and what should be there when by this instance's clock. */
    fun put(
        engine: String,
        models: Map<String, List<String>>,
        expectedAtMillis: Map<String, Long>
    ) {
        val now = KnownContents(models, expectedAtMillis)
        if (contents[engine] == now) return
        contents[engine] = now
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

    /** Returns what has changed since [seenVersion], as it is to be told at [nowMillis]. */
    fun since(seenVersion: Long, nowMillis: Long): List<EngineContents> =
        contents.filterKeys { (versions[it] ?: 0) > seenVersion }.map { (engine, known) ->
            val expected = known.expectedAtMillis.mapValues { it.value - nowMillis }
            EngineContents(engine, known.models, expected)
        }

    private data class KnownContents(
        val models: Map<String, List<String>>,
        val expectedAtMillis: Map<String, Long>
    )
}
