package mustarddale.serving.residency

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlinx.collections.immutable.ImmutableCollection
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.adapters.ImmutableCollectionAdapter
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableMap
import mustarddale.serving.backend.BackendFixtures
import mustarddale.serving.backend.ModelRef
import mustarddale.serving.config.ModelSpec

class PlanningCostTest {
    private val nowMillis = 20_000L

    /** Counts the models that a planning round looks at, each time it does. */
    private class CountedModels(private val models: ImmutableMap<String, ModelSpec>) :
        ImmutableMap<String, ModelSpec> by models {
        var reads = 0L

        override val values: ImmutableCollection<ModelSpec>
            get() {
                reads += size
                return ImmutableCollectionAdapter(models.values)
            }

        override fun get(key: String): ModelSpec? {
            reads++
            return models[key]
        }
    }

    private fun readsOfARound(engineCount: Int, modelCount: Int): Long {
        val models = CountedModels(
            (0 until modelCount).associate {
                "m$it" to ModelSpec("m$it", 70.0, 100, 100, 1_000, 1.0)
            }.toImmutableMap()
        )
        val spec = SimulatedEngine.spec.copy(models = models)
        val engines = List(engineCount) { index ->
            EngineInventory(BackendFixtures.backend("e$index")).also {
                it.report(report("m${2 * index % modelCount}"), nowMillis, nowMillis)
            }
        }
        val demand = ModelDemand()
        demand.report(
            "i",
            (0 until modelCount).map { DemandSample(ModelRef("m$it"), 1, 10.0, waiting = 1) },
            nowMillis
        )
        models.reads = 0
        ResidencyPlanner(spec, demandSinceMillis = 0).plan(engines, demand, true, nowMillis)
        return models.reads
    }

    private fun report(model: String) = EngineReport(
        models = listOf(model, "other").associateWith { persistentSetOf<String>() }
            .toImmutableMap(),
        loadingAdapters = persistentSetOf(),
        isBusy = false,
        orderCount = 0,
        running = 0,
        waiting = 0,
        hostCachedModels = persistentSetOf(),
        diskCachedModels = persistentSetOf()
    )

    @Test
    fun `planning does not overload the leader of many engines with many models`() {
        // The work may grow with the number of pairs of an engine and a model, not faster.
        listOf(10 to 20, 20 to 40, 40 to 80).forEach { (engineCount, modelCount) ->
            val factor = readsOfARound(2 * engineCount, 2 * modelCount).toDouble() /
                readsOfARound(engineCount, modelCount)
            assertTrue(factor <= 2 * 2, "twice as many than $engineCount, $modelCount: x $factor")
        }
    }
}
