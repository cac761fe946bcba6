package mustarddale.serving.residency

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableMap
import mustarddale.serving.backend.BackendFixtures
import mustarddale.serving.backend.ModelRef

class ResidencyPlannerTest {
    private val nowMillis = 20_000L

    /**
     * The number of engines that load a model, have unknown contents or are idle; each holds two
     * models, which fill its memory.
     */
    private data class Fleet(val loading: Int, val unknown: Int, val idle: Int)

    private fun report(isBusy: Boolean) = EngineReport(
        models = listOf("m1", "m2").associateWith { persistentSetOf<String>() }.toImmutableMap(),
        loadingAdapters = persistentSetOf(),
        isBusy = isBusy,
        orderCount = 0,
        running = 0,
        waiting = 0,
        hostCachedModels = persistentSetOf(),
        diskCachedModels = persistentSetOf()
    )

    private fun engines(fleet: Fleet): List<EngineInventory> {
        val states = List(fleet.loading) { 0 } + List(fleet.unknown) { 1 } + List(fleet.idle) { 2 }
        return states.mapIndexed { index, state ->
            EngineInventory(BackendFixtures.backend("e$index")).also {
                it.report(report(isBusy = state == 0), nowMillis, nowMillis)
                if (state == 1) invalidateContents(it)
            }
        }
    }

    /** Lets an adapter order conflict, so the contents are unknown until the next report. */
    private fun invalidateContents(engine: EngineInventory) {
        val wanted = ModelRef("m1", "a1")
        val count = engine.expectedOrderCount()
        engine.orderStarted(EngineOrder(engine.engine.id, OrderKind.LOAD, wanted, count), nowMillis)
        engine.orderAnswered(OrderAnswer.CONFLICT, nowMillis)
    }

    private fun orderCount(fleet: Fleet, waiting: Int): Int {
        val demand = ModelDemand()
        val samples = listOf("m1" to 0, "m2" to 0, "m3" to waiting).map { (model, count) ->
            DemandSample(ModelRef(model, null), requests = 1, tokens = 10.0, waiting = count)
        }
        demand.report("i", samples, nowMillis)
        return ResidencyPlanner(SimulatedEngine.spec, demandSinceMillis = 0)
            .plan(engines(fleet), demand, mayLoadFromStore = true, nowMillis).size
    }

    @Test
    fun `a model is unloaded for one that requests wait for`() {
        listOf(
            Fleet(loading = 0, unknown = 0, idle = 5) to 1,
            Fleet(loading = 0, unknown = 3, idle = 2) to 1,
            Fleet(loading = 1, unknown = 2, idle = 2) to 1,
            Fleet(loading = 2, unknown = 1, idle = 2) to 1,
            Fleet(loading = 3, unknown = 0, idle = 2) to 0,
            Fleet(loading = 0, unknown = 5, idle = 0) to 0
        ).forEach { (fleet, expected) ->
            assertEquals(expected, orderCount(fleet, waiting = 4), "$fleet")
        }
    }

    /** Guards against a leader whose work ends because a model is no longer configured. */
    @Test
    fun `models that are removed while they are held, loaded or reserved are unloaded`() {
        data class Case(
            val name: String,
            val expected: Set<EngineOrder>,
            val use: (EngineInventory) -> Unit
        )

        val unload = EngineOrder("e0", OrderKind.UNLOAD, ModelRef("m1"), 0)
        val cases = listOf(
            Case("held", setOf(unload)) {},
            Case("reserved for it", setOf(unload)) { it.reservedFor = "m1" },
            Case("loaded", emptySet()) {
                it.orderStarted(EngineOrder("e0", OrderKind.LOAD, ModelRef("m1"), 0), nowMillis)
            }
        )
        val all = SimulatedEngine.spec
        val remaining = all.models.filterKeys { it != "m1" }.toImmutableMap()
        val specs = listOf(
            "known" to all.copy(models = remaining).withRemovedModelsOf(all),
            "not known" to all.copy(models = remaining)
        )
        cases.flatMap { case -> specs.map { case to it } }.forEach { (case, namedSpec) ->
            val engine = engines(Fleet(loading = 0, unknown = 0, idle = 1)).single()
            case.use(engine)
            val orders = ResidencyPlanner(namedSpec.second, demandSinceMillis = 0)
                .plan(listOf(engine), ModelDemand(), mayLoadFromStore = true, nowMillis)
            assertEquals(case.expected, orders.toSet(), "${case.name}, ${namedSpec.first}")
        }
    }

    @Test
    fun `no model is unloaded for one that no request waits for`() {
        assertEquals(0, orderCount(Fleet(loading = 0, unknown = 0, idle = 5), waiting = 0))
    }

    @Test
    fun `the expected time of a model includes its load and the unload before it`() {
        val engine = engines(Fleet(loading = 0, unknown = 0, idle = 1)).single()
        assertEquals(emptyMap(), engine.expectedModels(SimulatedEngine.spec))
        engine.reservedFor = "m3"
        val unload = EngineOrder("e0", OrderKind.UNLOAD, ModelRef("m1"), 0)
        engine.orderStarted(unload, nowMillis)
        assertEquals(mapOf("m3" to nowMillis + 2_000), engine.expectedModels(SimulatedEngine.spec))
        engine.orderAnswered(OrderAnswer.ACCEPTED, nowMillis)
        engine.report(report(isBusy = false).copy(orderCount = 1), nowMillis + 300, nowMillis + 300)
        engine.reservedFor = null
        val load = EngineOrder("e0", OrderKind.LOAD, ModelRef("m3"), 1)
        engine.orderStarted(load, nowMillis + 400)
        assertEquals(mapOf("m3" to nowMillis + 1_400), engine.expectedModels(SimulatedEngine.spec))
    }
}
