package mustarddale.serving.residency

import java.util.Random
import kotlin.test.assertTrue
import mustarddale.serving.backend.BackendFixtures
import mustarddale.serving.backend.ModelRef
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange

/** Planners, inventories and engines together, with orders that are lost or late. */
class PlacementSimulationTest {
    private val spec = EngineModel.spec

    private inner class Run(seed: Long) {
        val random = Random(seed)
        val engines = (1..3).associate { "e$it" to EngineModel(spec) }
        var inventories = newInventories()
        val demand = ModelDemand()
        val planner = ResidencyPlanner(spec, 0)
        val adapterPlanner = AdapterPlanner(spec)
        val late = ArrayList<Pair<Long, () -> Unit>>()

        fun newInventories() =
            engines.keys.associateWith { EngineInventory(BackendFixtures.backend(it)) }

        fun step(nowMillis: Long) {
            late.filter { it.first <= nowMillis }.forEach { it.second() }
            late.removeIf { it.first <= nowMillis }
            engines.values.forEach { it.advance(nowMillis) }
            if (random.nextInt(600) == 0) inventories = newInventories()
            if (nowMillis % 250 == 0L) demand.report("i", samples(), nowMillis)
            inventories.forEach { (id, inventory) ->
                inventory.completeAdapterLoads(nowMillis)
                if (inventory.needsReport(nowMillis) && random.nextInt(4) != 0) {
                    inventory.report(engines.getValue(id).lateReport(), nowMillis, nowMillis)
                }
            }
            val all = inventories.values.toList()
            adapterPlanner.plan(all, demand, nowMillis).forEach { give(it, nowMillis) }
            planner.plan(all, demand, mayLoadFromStore = true, nowMillis)
                .forEach { give(it, nowMillis) }
        }

        private fun samples() = (1..4).map { model ->
            val adapter = "a${random.nextInt(3)}".takeIf { random.nextBoolean() }
            val count = random.nextInt(3)
            DemandSample(ModelRef("m$model", adapter), count, count * 10.0, random.nextInt(2))
        }

        private fun give(order: EngineOrder, nowMillis: Long) {
            val inventory = inventories.getValue(order.engine)
            val engine = engines.getValue(order.engine)
            inventory.orderStarted(order, nowMillis)
            when (random.nextInt(8)) {
                0 -> inventory.orderAnswered(OrderAnswer.UNKNOWN, nowMillis)

                1 -> {
                    inventory.orderAnswered(OrderAnswer.UNKNOWN, nowMillis)
                    val landsAt = nowMillis + 2_000 + random.nextInt(10_000)
                    late.add(landsAt to { engine.give(order, landsAt, random) })
                }

                2 -> {
                    engine.give(order, nowMillis, random)
                    inventory.orderAnswered(OrderAnswer.UNKNOWN, nowMillis)
                }

                else -> inventory.orderAnswered(engine.give(order, nowMillis, random), nowMillis)
            }
        }
    }

    @Property(seed = "20261204", tries = 200)
    fun `no engine is ever ordered above its memory or adapter places`(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long
    ) {
        val run = Run(seed)
        for (nowMillis in 0L..16_000L step 10) {
            run.step(nowMillis)
            run.engines.forEach { (id, engine) ->
                assertTrue(
                    engine.usedMegabytes <= spec.memoryMegabytes,
                    "$id holds ${engine.models} at $nowMillis ms"
                )
                assertTrue(engine.adapterCount <= spec.adapterSlots, "$id: ${engine.models}")
            }
        }
        val served = run.engines.values.flatMap { it.models.keys }.toSet()
        assertTrue(served.size >= 3, "only $served are resident in room for six copies")
    }
}
